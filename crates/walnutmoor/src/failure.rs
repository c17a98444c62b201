/*!
Why a command failed, with what is wrong and where.

Each kind has its own exit code, so that scripts can tell a bad settings file
from an unreachable node.
*/

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Failure {
    /// The command line makes no sense.
    #[error("{message}")]
    #[diagnostic(code(usage), help("{help}"))]
    Usage {
        /// What is wrong.
        message: String,
        /// What to do instead.
        help: String,
    },
    /// A settings file is wrong.
    #[error("{message}")]
    #[diagnostic(code(settings))]
    Settings {
        /// What is wrong.
        message: String,
        /// The file.
        #[source_code]
        source_code: std::sync::Arc<NamedSource<String>>,
        /// Where in the file.
        #[label("here")]
        span: Option<SourceSpan>,
    },
    /// A file cannot be read.
    #[error("cannot read {path}: {cause}")]
    #[diagnostic(code(file))]
    File {
        /// Which.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// A port cannot be opened.
    #[error("cannot listen on {address}: {cause}")]
    #[diagnostic(code(listen), help("is another process there?"))]
    Listen {
        /// Where.
        address: String,
        /// Why.
        cause: String,
    },
    /// A node cannot be reached.
    #[error("no node answers at {address}: {cause}")]
    #[diagnostic(
        code(unreachable),
        help("name another node with --node ADDRESS:PORT")
    )]
    Unreachable {
        /// Where.
        address: String,
        /// Why.
        cause: String,
    },
    /// A node refused.
    #[error("the node refused: {message}")]
    #[diagnostic(code(refused))]
    Refused {
        /// What it said.
        message: String,
        /// Whether it was a conflict with another change.
        conflict: bool,
    },
    /// Something that the process needs ended.
    #[error("{0}")]
    #[diagnostic(code(internal))]
    Internal(String),
}

impl Failure {
    /// A mistake on the command line.
    pub fn usage(message: impl Into<String>) -> Failure {
        let help = "walnutmoor --help".to_string();
        Failure::Usage { message: message.into(), help }
    }

    /// The exit code of the process.
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
