#include "boragehollow/settings/load.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace boragehollow::settings {
namespace {

// Guards against docs/settings.md differing from the entries. With UPDATE_SETTINGS_PAGE set it writes the
// page first.
TEST(reference, page_holds_the_generated_text) {
    if (std::getenv("UPDATE_SETTINGS_PAGE") != nullptr) {
        std::ofstream(BORAGEHOLLOW_SETTINGS_PAGE) << render_reference();
    }
    std::ifstream page(BORAGEHOLLOW_SETTINGS_PAGE);
    ASSERT_TRUE(page) << BORAGEHOLLOW_SETTINGS_PAGE;
    std::ostringstream text;
    text << page.rdbuf();
    EXPECT_EQ(text.str(), render_reference())
        << "run boragehollow_settings_tests with UPDATE_SETTINGS_PAGE=1";
}

} // namespace
} // namespace boragehollow::settings
