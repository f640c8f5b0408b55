//! What all test files share: the macro that names each case.

/// Makes one named test of each line `name: function(arguments);`.
macro_rules! cases {
    ($($name:ident : $function:ident ( $($argument:expr),* $(,)? ) ;)+) => {
        $(
            #[test]
            fn $name() {
                $function($($argument),*);
            }
        )+
    };
}

pub(crate) use cases;
