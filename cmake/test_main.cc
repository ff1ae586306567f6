#define BOOST_TEST_MODULE chivecrank
#include <boost/test/unit_test.hpp>
