use thiserror::Error;

/// The reason why a settings file, a key file or a schema file was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// What the operating system or the parser reported.
        reason: String,
    },
    /// A field is missing, unknown, or has a value that is not allowed.
    #[error("{path}: {reason}")]
    Field {
        /// Path of the field, e.g. `control_hosts[1]`.
        path: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

impl SettingsError {
    /// Returns an error about one field.
    pub fn field(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Field {
            path: path.into(),
            reason: reason.into(),
        }
    }

    /// Deserializes `json` into `T`. The error contains the path of the invalid field.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON, or if a field is unknown or has the wrong type.
    pub fn read_json<T: serde::de::DeserializeOwned>(json: &str) -> Result<T, Self> {
        let mut reader = serde_json::Deserializer::from_str(json);
        let value = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| Self::field(e.path().to_string(), e.inner().to_string()))?;
        reader.end().map_err(|e| Self::field(".", e.to_string()))?;
        Ok(value)
    }
}
