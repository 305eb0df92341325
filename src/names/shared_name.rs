//! Names as immutable shared strings, with a newtype for each kind of named object.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies `text` into a new name.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

shared_name!(
    /// Name of a client account.
    AccountName
);
shared_name!(
    /// Name of a LoRA adapter.
    AdapterName
);
shared_name!(
    /// Name of a backend server: a model engine or a desk.
    BackendName
);
shared_name!(
    /// Name of a caller's application, as the settings list it.
    CallerName
);
shared_name!(
    /// Name of a data centre.
    DataCentre
);
shared_name!(
    /// Name of one entry instance.
    InstanceName
);
shared_name!(
    /// Name of a base model.
    ModelName
);
shared_name!(
    /// Name of a page of the published configuration.
    PageName
);
shared_name!(
    /// Name of a preset.
    PresetName
);
shared_name!(
    /// Name of a route of the published traffic configuration.
    RouteName
);
shared_name!(
    /// Name of a service that replicas serve.
    ServiceName
);
shared_name!(
    /// Version of a replica's software; empty if its entry names none.
    SoftwareVersion
);
