#define BOOST_TEST_MODULE daisywinch
#include <boost/test/unit_test.hpp>
