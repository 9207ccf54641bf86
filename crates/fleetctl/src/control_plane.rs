//! A client of the control replicas: any of them will do, so one after another is tried.
use fleet_common::{PeerError, Step, http_client};
use sonic_rs::JsonValueTrait;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// A control replica that cannot answer now; another one may.
const UNAVAILABLE: u16 = 503;

/// The operators' addresses of the control replicas.
pub struct ControlPlane(Vec<SocketAddr>);

/// A response with its body as text.
pub struct HttpResponse {
    pub status: u16,
    pub text: String,
}

fn no_address(step: Step) -> PeerError {
    PeerError::at(step, "control replicas", "no address is given: --cores or COURSEBEND_CORES")
}

impl ControlPlane {
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        ControlPlane(addresses)
    }

    /// Gets a page from the first control replica that has it. The error is that of the last one tried.
    pub fn get(&self, path: &str) -> Result<String, PeerError> {
        let mut last = no_address(Step::Query);
        for address in &self.0 {
            match http_client::json("GET", &format!("http://{address}{path}"), "", REQUEST_TIMEOUT) {
                Ok(text) => return Ok(text),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// The version of a source that is current.
    pub fn source_version(&self, source: &str) -> Option<u64> {
        let page = self.get("/holds").ok()?;
        sonic_rs::get(&page, ["sources", source, "version"]).ok()?.as_u64()
    }

    /// Posts a body to the first control replica that can answer. The same command may reach several: it is
    /// idempotent by its id.
    pub fn post(&self, path: &str, body: &str) -> Result<HttpResponse, PeerError> {
        let headers = [("content-type", "application/json".to_string())];
        let mut last = no_address(Step::Command);
        for address in &self.0 {
            let url = format!("http://{address}{path}");
            match http_client::send("POST", &url, &headers, body.as_bytes(), REQUEST_TIMEOUT) {
                Ok((UNAVAILABLE, text)) => last = PeerError::at(Step::Command, address, String::from_utf8_lossy(&text)),
                Ok((status, text)) => {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    return Ok(HttpResponse { status, text });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
