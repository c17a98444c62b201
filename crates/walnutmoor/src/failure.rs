/*!
Errors of commands, with their diagnostics and exit codes.

Scripts distinguish the kinds, such as an invalid settings file and an
unreachable node, by [`Failure::exit_code`].
*/

use miette::{Diagnostic, NamedSource, SourceSpan};

/// The reason why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Failure {
    /// The command line is invalid.
    #[error("{message}")]
    #[diagnostic(code(usage), help("{help}"))]
    Usage {
        /// What is invalid.
        message: String,
        /// The command that prints the usage.
        help: String,
    },
    /// A settings file is invalid.
    #[error("{message}")]
    #[diagnostic(code(settings))]
    Settings {
        /// What is invalid.
        message: String,
        /// The name and text of the file.
        #[source_code]
        source_code: std::sync::Arc<NamedSource<String>>,
        /// The position in the file, if known.
        #[label("here")]
        span: Option<SourceSpan>,
    },
    /// A file cannot be read.
    #[error("cannot read {path}: {cause}")]
    #[diagnostic(code(file))]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    #[diagnostic(
        code(listen),
        help("check whether another process uses this address")
    )]
    Listen {
        /// The address.
        address: String,
        /// The error message.
        cause: String,
    },
    /// A node cannot be reached or does not respond in time.
    #[error("no node answers at {address}: {cause}")]
    #[diagnostic(
        code(unreachable),
        help("name another node with --node ADDRESS:PORT")
    )]
    Unreachable {
        /// The address.
        address: String,
        /// The error message.
        cause: String,
    },
    /// A node refused a request.
    #[error("the node refused: {message}")]
    #[diagnostic(code(refused))]
    Refused {
        /// The reason that the node gave.
        message: String,
        /// True if the request conflicts with another change.
        conflict: bool,
    },
    /// An internal error, such as a thread that ended early.
    #[error("{0}")]
    #[diagnostic(code(internal))]
    Internal(String),
}

impl Failure {
    /// Creates a [`Failure::Usage`] that refers to `walnutmoor --help`.
    pub fn usage(message: impl Into<String>) -> Failure {
        let help = "walnutmoor --help".to_string();
        Failure::Usage { message: message.into(), help }
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Usage { .. } => 2,
            Failure::Settings { .. } | Failure::File { .. } => 3,
            Failure::Listen { .. } => 4,
            Failure::Unreachable { .. } => 5,
            Failure::Refused { conflict: true, .. } => 6,
            Failure::Refused { .. } => 7,
            Failure::Internal(_) => 1,
        }
    }
}
