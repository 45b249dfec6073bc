//! Table-driven tests. Each case has a name, so that a failure report identifies the case.

/// Declares a test function for each named case.
///
/// A case has the form `name: expression;`. The test function `name` evaluates the expression.
///
/// # Examples
///
/// ```
/// case::cases! {
///     addition_commutes: assert_eq!(1 + 2, 2 + 1);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $body:expr;)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}
