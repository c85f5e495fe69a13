//! Configuration of the router: the JSON file that `GW_CONFIG` names, and the environment variables
//! that take precedence over it at startup.

use load_balancer::SettingsError;
use load_balancer::deployment::{self, Deployment, DeploymentError};
use router_runtime::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Memory limit if the configuration has none, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// `GW_CONFIG` is not set, or is not UTF-8.
    #[error("GW_CONFIG is not set, or not UTF-8; set it to the path of the configuration file")]
    NoPath,
    /// The file cannot be read.
    #[error("{path}: cannot read the configuration file that GW_CONFIG names: {source}")]
    Io {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected structure.
    #[error("{path}: invalid configuration file: {source}")]
    Json {
        /// Path of the file.
        path: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// An environment variable is not a socket address.
    #[error("{variable}: '{value}' is not a socket address such as 127.0.0.1:6379")]
    NotAnAddress {
        /// Name of the variable.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: '{0}' is not a 64-bit hexadecimal number (1 to 16 digits, without 0x)")]
    Seed(String),
    /// A setting is missing or malformed.
    #[error("settings in the configuration file: {0}")]
    Deployment(#[from] DeploymentError),
    /// A setting is out of range.
    #[error("settings in the configuration file: {0}")]
    Settings(#[from] SettingsError),
}

/// The configuration file. The platform defines its format; where a field is called differently in
/// this program, `rename` gives the platform's name.
#[derive(Deserialize)]
pub struct Configuration {
    /// Name of the router, shared by all its processes.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service, at which the endpoint list is watched.
    pub discovery: SocketAddr,
    /// Address of the admin API; `None` if it is off.
    pub admin: Option<SocketAddr>,
    seed: String,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// The endpoint list that this router had last, used until discovery answers.
    #[serde(rename = "known")]
    pub initial_endpoints: Option<EndpointList>,
    /// Settings of `load-balancer`, in the platform's format.
    pub settings: Value,
}

/// Resource limits of the process.
#[derive(Deserialize)]
pub struct ResourceLimits {
    /// File descriptors that the process may have open.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    #[serde(rename = "memory_mb", default = "default_memory_mib")]
    memory_mib: usize,
}

impl ResourceLimits {
    /// Returns the memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mib.saturating_mul(1 << 20)
    }
}

fn default_memory_mib() -> usize {
    DEFAULT_MEMORY_MIB
}

impl Configuration {
    /// Reads the file and applies the environment variables that take precedence over it.
    ///
    /// # Errors
    /// If the file cannot be read, or a variable is invalid. Settings are not validated yet.
    pub fn read_at_start() -> Result<Configuration, ConfigurationError> {
        let mut configuration = Configuration::read_file()?;
        if let Some(address) = address_variable("GW_LISTEN")? {
            configuration.listen = address;
        }
        if let Some(address) = address_variable("GW_DISCOVERY")? {
            configuration.discovery = address;
        }
        if let Some(address) = address_variable("GW_ADMIN")? {
            configuration.admin = Some(address);
        }
        if let Ok(name) = std::env::var("GW_NAME") {
            configuration.name = name;
        }
        Ok(configuration)
    }

    /// Reads the file again in a running process, and validates its settings. The environment
    /// variables are not applied, since the file is newer than they are.
    ///
    /// # Errors
    /// If the file cannot be read, or a setting is missing or out of range.
    pub fn read_for_reload() -> Result<Configuration, ConfigurationError> {
        let configuration = Configuration::read_file()?;
        configuration.deployment()?;
        Ok(configuration)
    }

    fn read_file() -> Result<Configuration, ConfigurationError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigurationError::NoPath)?;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(ConfigurationError::Io { path, source }),
        };
        serde_json::from_slice(&bytes).map_err(|source| ConfigurationError::Json { path, source })
    }

    /// Parses and validates the settings.
    ///
    /// # Errors
    /// If a setting is missing, malformed or out of range.
    pub fn deployment(&self) -> Result<Deployment, ConfigurationError> {
        let mut pairs = Vec::new();
        flatten("", &self.settings, &mut pairs);
        let pairs = pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()));
        let deployment = deployment::read(pairs)?;
        deployment.settings.validate()?;
        Ok(deployment)
    }

    /// Returns the seed of the random number generator.
    ///
    /// # Errors
    /// If it is not a 64-bit hexadecimal number.
    pub fn seed(&self) -> Result<u64, ConfigurationError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigurationError::Seed(self.seed.clone()))
    }
}

/// Reads a socket address from an environment variable; `None` if it is not set.
fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigurationError> {
    let Ok(value) = std::env::var(variable) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigurationError::NotAnAddress { variable, value }),
    }
}

/// Appends the settings below `path` as pairs of a dotted path and a value, which is what
/// [`deployment::read`] takes.
///
/// A list of scalars is joined with commas. A list of objects is written as its length under
/// `.count` and its items under their indices. `null` is omitted.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (name, member) in members {
                flatten(&child_path(name), member, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child_path("count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(&child_path(&index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push((path.to_string(), items.join(",")));
        }
        scalar => pairs.push((path.to_string(), scalar_text(scalar))),
    }
}

/// Formats a value as text: a string without its quotes, anything else as in JSON.
fn scalar_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}
