//! Names each case of a test, so that a failure says which row of the table broke.

/// Declares one test function for each named case.
///
/// A case is `name: expression;`. The expression is evaluated in a test function of that name.
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
