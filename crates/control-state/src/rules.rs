//! Rules on requests in the fleet's configuration: CEL expressions over facts of a request. They are checked when the
//! configuration is read, short and without loops so that their cost is bounded; a rule that fails rejects the request
//! and says why.
use cel::{Context, Program, Value};
use serde::{Deserialize, Serialize};

/// The most rules of a configuration.
pub const MAX_RULES: usize = 32;
/// The longest expression, in bytes.
const MAX_BYTES: usize = 256;
/// The deepest nesting, and the most signs one after the other. The parser recurses, and deep nesting would end the whole
/// process (seen at 400 levels).
const MAX_DEPTH: usize = 16;
/// Functions whose cost has no bound.
const UNBOUNDED_FUNCTIONS: [&str; 6] = [".map(", ".filter(", ".all(", ".exists(", ".exists_one(", ".matches("];
/// The parser runs on a thread with a stack of this size.
const PARSER_STACK_BYTES: usize = 32 << 20;

/// Requests for which `refuse_when` is true, or fails, are rejected with `message`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// For operators and callers.
    pub name: String,
    /// The expression.
    pub refuse_when: String,
    /// What a rejected caller is told.
    #[serde(rename = "say")]
    pub message: String,
}

/// What a rule may look at; `prompt_bytes` is `promptBytes` in expressions.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFacts<'a> {
    /// The name of the tenant.
    pub tenant: &'a str,
    /// The class of the request.
    pub kind: &'a str,
    /// The model it asks for.
    pub model: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// How many tokens it may generate.
    pub tokens: i64,
    /// The size of its prompt.
    pub prompt_bytes: i64,
    /// Whether it wants a stream.
    pub stream: bool,
    /// Whether it must not run twice.
    pub once: bool,
}

/// Why an expression cannot be a rule. Its text is for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleError {
    /// The expression has more than 256 bytes.
    #[error("longer than {max} bytes", max = MAX_BYTES)]
    TooLong,
    /// Brackets or signs are nested more than 16 times.
    #[error("nested deeper than {max}", max = MAX_DEPTH)]
    TooDeep,
    /// A function whose cost depends on the request.
    #[error("{function}) may not be used: its cost has no bound")]
    UnboundedFunction {
        /// The function, up to its opening bracket.
        function: &'static str,
    },
    /// The parser's own words.
    #[error("{reason}")]
    NotAnExpression {
        /// What the parser says.
        reason: String,
    },
    /// The expression gives something else than true or false.
    #[error("true or false is wanted, not {value}")]
    NotBoolean {
        /// What it gives.
        value: String,
    },
    /// It fails on a request without facts.
    #[error("{reason}")]
    Fails {
        /// What the evaluation says.
        reason: String,
    },
}

fn context(facts: &RequestFacts) -> Context<'static, 'static> {
    let mut context = Context::default();
    let texts = [("tenant", facts.tenant), ("kind", facts.kind), ("model", facts.model), ("path", facts.path)];
    for (name, value) in texts {
        let _ = context.add_variable(name, value.to_string());
    }
    for (name, value) in [("tokens", facts.tokens), ("promptBytes", facts.prompt_bytes)] {
        let _ = context.add_variable(name, value);
    }
    for (name, value) in [("stream", facts.stream), ("once", facts.once)] {
        let _ = context.add_variable(name, value);
    }
    context
}

/// Checks that parsing and running an expression costs little, whatever it says.
fn check_cost(text: &str) -> Result<(), RuleError> {
    if text.len() > MAX_BYTES {
        return Err(RuleError::TooLong);
    }
    let dense: String = text.chars().filter(|char| !char.is_whitespace()).collect();
    if let Some(function) = UNBOUNDED_FUNCTIONS.into_iter().find(|function| dense.contains(function)) {
        return Err(RuleError::UnboundedFunction { function });
    }
    let (mut depth, mut signs) = (0usize, 0usize);
    for char in dense.chars() {
        match char {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        signs = if ['!', '-', '?'].contains(&char) { signs + 1 } else { signs };
        if depth > MAX_DEPTH || signs > MAX_DEPTH {
            return Err(RuleError::TooDeep);
        }
    }
    Ok(())
}

fn compile(text: &str) -> Result<Program, RuleError> {
    check_cost(text)?;
    let text = text.to_string();
    let not_an_expression = |reason: &str| RuleError::NotAnExpression { reason: reason.to_string() };
    let parse = move || {
        Program::compile(&text).map_err(|error| {
            let reason = error.to_string();
            RuleError::NotAnExpression { reason: reason.lines().next().unwrap_or("not an expression").to_string() }
        })
    };
    let parser = std::thread::Builder::new().stack_size(PARSER_STACK_BYTES).spawn(parse);
    let parsed = parser.map_err(|error| not_an_expression(&error.to_string()))?.join();
    // A parser that panics has been given no expression.
    parsed.unwrap_or_else(|_| Err(not_an_expression("not an expression")))
}

/// Checks an expression.
///
/// # Errors
/// It must compile, and give true or false for a request.
/// ```
/// use control_state::rules::check;
/// assert!(check("kind == 'hint' && tokens > 500").is_ok());
/// assert!(check("tokens + 1").is_err());
/// assert!(check("[1, 2].map(x, x) == []").is_err());
/// ```
pub fn check(text: &str) -> Result<(), RuleError> {
    match compile(text)?.execute(&context(&RequestFacts::default())) {
        Ok(Value::Bool(_)) => Ok(()),
        Ok(other) => Err(RuleError::NotBoolean { value: format!("{other:?}") }),
        Err(error) => Err(RuleError::Fails { reason: error.to_string() }),
    }
}

/// A rule with its compiled expression.
struct CompiledRule {
    rule: Rule,
    program: Result<Program, RuleError>,
}

impl CompiledRule {
    /// Why the rule rejects a request, if it does.
    fn rejection(&self, context: &Context) -> Option<String> {
        let name = &self.rule.name;
        let program = match &self.program {
            Ok(program) => program,
            Err(error) => return Some(format!("rule {name} failed: {error}")),
        };
        match program.execute(context) {
            Ok(Value::Bool(false)) => None,
            Ok(Value::Bool(true)) => Some(format!("rule {name}: {}", self.rule.message)),
            Ok(other) => Some(format!("rule {name} failed: it gave {other:?}")),
            Err(error) => Some(format!("rule {name} failed: {error}")),
        }
    }
}

/// Compiled rules.
#[derive(Default)]
pub struct RuleEngine {
    rules: Vec<CompiledRule>,
}

impl RuleEngine {
    /// Compiles rules that were checked.
    pub fn new(rules: &[Rule]) -> Self {
        let compiled = |rule: &Rule| CompiledRule { rule: rule.clone(), program: compile(&rule.refuse_when) };
        RuleEngine { rules: rules.iter().map(compiled).collect() }
    }

    /// Why a request is rejected, if it is: by the first rule that does.
    /// ```
    /// use control_state::rules::{RequestFacts, Rule, RuleEngine};
    /// let rule = Rule { name: "short".into(), refuse_when: "tokens > 9".into(), message: "at most 9".into() };
    /// let engine = RuleEngine::new(&[rule]);
    /// let long = RequestFacts { tokens: 10, ..RequestFacts::default() };
    /// assert_eq!(engine.rejection(&long), Some("rule short: at most 9".into()));
    /// assert_eq!(engine.rejection(&RequestFacts::default()), None);
    /// ```
    pub fn rejection(&self, facts: &RequestFacts) -> Option<String> {
        if self.rules.is_empty() {
            return None;
        }
        let context = context(facts);
        self.rules.iter().find_map(|rule| rule.rejection(&context))
    }
}
