//! What the generator needs to know of a site file.
use crate::GenerateError;
use serde::Deserialize;

/// A service of the site and the model that its replicas follow.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The kind of replica, `llm` for those that run a model.
    pub model: String,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestClass {
    /// The class's name.
    pub name: String,
}

/// A site, as far as days depend on it. Other fields of the file are skipped.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// The parts of the rules that are in force.
    pub contracts: Vec<String>,
    /// How long traffic goes on, in seconds.
    pub length_s: f64,
    /// Its services.
    pub services: Vec<Service>,
    /// Its classes of requests.
    pub classes: Vec<RequestClass>,
    /// Its usual traffic, passed on as it is.
    pub traffic: toml::Value,
}

impl Site {
    /// Reads a site file.
    ///
    /// # Errors
    /// `GenerateError::Read` where the file cannot be read, `GenerateError::Parse` where a needed field is missing.
    /// ```
    /// let error = workload_generator::site::Site::read("/no/such/site.toml").unwrap_err();
    /// assert!(error.to_string().contains("/no/such/site.toml"));
    /// ```
    pub fn read(path: &str) -> Result<Self, GenerateError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| GenerateError::Read { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Reads the text of a site file.
    ///
    /// # Errors
    /// `GenerateError::Parse` where a needed field is missing or of another type.
    /// ```
    /// assert!(workload_generator::site::Site::parse("name = \"only a name\"").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, GenerateError> {
        toml::from_str(text).map_err(|source| GenerateError::Parse { what: "site file", source })
    }

    /// The name of the first service whose replicas run a model (`model`), or of the first other one (`store`).
    /// ```
    /// # let site = workload_generator::site::Site::parse(workload_generator::site::EXAMPLE).unwrap();
    /// assert_eq!(site.service("model"), Some("assistant"));
    /// assert_eq!(site.service("store"), None);
    /// ```
    pub fn service(&self, target: &str) -> Option<&str> {
        let wants_model = target == "model";
        let found = self.services.iter().find(|service| (service.model == "llm") == wants_model);
        found.map(|service| service.name.as_str())
    }
}

/// The smallest site that days can be generated for.
pub const EXAMPLE: &str = r#"
name = "example"
contracts = ["base"]
length_s = 34.0
services = [{ name = "assistant", model = "llm" }]
classes = [{ name = "question" }]
traffic = []
"#;
