#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "harness/child_process.h"
#include "harness/settings_files.h"

namespace chivecrank::harness {
namespace {

constexpr int kAccepted = 0;
constexpr int kBadSettings = 2;

/// A settings file with one change and the one message that it must give.
struct wrong_file {
  std::string part;
  std::string replace;
  std::string with;
  std::string message;
};

const std::vector<wrong_file> kWrongFiles = {
    {"entry", "instance = \"i-1\"", "instanze = \"i-1\"",
     ":1: instanze: is not a known key; remove it or correct its spelling"},
    {"entry", "instance = \"i-1\"", "instance = 7",
     ":1: instance: has the wrong type; give a string here"},
    {"entry", "instance = \"i-1\"", "instance = \"\"",
     ":1: instance: is empty; give a non-empty string here"},
    {"entry", "instance = \"i-1\"", "",
     "instance: is missing; add it; see the example under config/"},
    {"entry", "instance = \"i-1\"", "instance = ", ":1: (syntax): "},
    {"entry", "listen = \"127.0.0.1:8080\"", "listen = \"localhost:8080\"",
     ":3: listen: \"localhost:8080\" is not an address; give \"ip:port\""},
    {"entry", "listen = \"127.0.0.1:8080\"", "listen = \"127.0.0.1:99999\"",
     ":3: listen: \"127.0.0.1:99999\" is not an address"},
    {"entry", "status = \"127.0.0.1:8081\"", "status = \"127.0.0.1:8080\"",
     ":4: status: is the same address as listen; give the two different"},
    {"entry", "[platform]", "drain_ms = -1\n[platform]",
     "drain_ms: is -1, out of range; give a value from 0 to 60000"},
    {"entry", "[scheduler]", "[schedulers]", ": schedulers: is not a known"},
    {"entry", "[platform]", "[limits]\nconnections = 1\n[platform]",
     "limits.connections: is 1, out of range; give a value from 4 to 2000"},
    {"entry", "[platform]",
     "[limits]\nread_timeout_ms = 5000\nrequest_timeout_ms = 100\n[platform]",
     "limits.request_timeout_ms: is shorter than read_timeout_ms; give"},
    {"entry", "index = 0", "index = 2",
     "share.index: is not below the number of share.entries; list every entry"},
    {"entry", "index = 0", "index = 1",
     "share.index: names a place in failure domain viti-nadi; give the place"},
    {"scheduler", "session_ms = 2000", "session_ms = \"2 s\"",
     "leases.session_ms: has the wrong type; give an integer here"},
    {"scheduler", "session_ms = 2000", "session_ms = 1",
     "leases.session_ms: is 1, out of range; give a value from 500 to 120000"},
    {"scheduler", "clock_margin_ms = 300", "clock_margin_ms = 1500",
     "leases.clock_margin_ms: is more than half of session_ms; give a"},
    {"scheduler", "[platform]", "[platforms]",
     ": platforms: is not a known key"},
    {"scheduler", "failure_domain = \"viti-suva\"",
     "failure_domain = [\"viti-suva\"]",
     ":2: failure_domain: has the wrong type; give a string here"},
    {"admin", "role = \"viewer\"", "role = \"owner\"",
     "role: is \"owner\", not a role; give viewer, editor or administrator"},
    {"admin", "name = \"sala\"", "", "operators[2].name: is missing; add it"},
    {"admin", "token_hash = \"", "token_hash = \"x",
     "operators[0].token_hash: is not a SHA-256 hash; make one with:"},
};

/// What a program said of a settings file.
struct check_result {
  int exit_code = 0;
  std::string output;
};

struct fixture {
  fixture() {
    folder = std::filesystem::temp_directory_path() /
             ("chivecrank-settings-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
  }
  ~fixture() { std::filesystem::remove_all(folder); }

  check_result Check(const std::string& part, const std::string& file) const {
    const std::string log = (folder / "log").string();
    std::filesystem::remove(log);
    child_process program(
        std::string(CHIVECRANK_BINARY_DIR) + "/chivecrank_" + part,
        {"--settings=" + file, "--check_settings"}, log);
    check_result result{program.Wait(), ""};
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    result.output = text.str();
    return result;
  }

  std::string Write(const std::string& text) const {
    std::string path = (folder / "settings.toml").string();
    std::ofstream(path) << text;
    return path;
  }

  static std::string ValidText(const std::string& part) {
    instance_addresses at;
    at.id = "i-1";
    at.failure_domain = "viti-suva";
    at.entry = {"127.0.0.1", 8080};
    at.entry_status = {"127.0.0.1", 8081};
    at.scheduler = {"127.0.0.1", 9090};
    at.scheduler_status = {"127.0.0.1", 9091};
    at.admin = {"127.0.0.1", 7400};
    at.admin_status = {"127.0.0.1", 7401};
    at.platform = {"127.0.0.1", 7100};
    at.entry_peers = {{"127.0.0.1", 8082}, {"127.0.0.2", 8082}};
    at.peer_domains = {"viti-suva", "viti-nadi"};
    if (part == "entry")
      return EntrySettingsText(at);
    return part == "scheduler" ? SchedulerSettingsText(at)
                               : AdminSettingsText(at);
  }

  std::filesystem::path folder;
};

std::string Replaced(std::string text, const wrong_file& wrong) {
  const std::size_t place = text.find(wrong.replace);
  BOOST_REQUIRE_MESSAGE(place != std::string::npos, wrong.replace);
  return text.replace(place, wrong.replace.size(), wrong.with);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(settings_files_suite, fixture)

BOOST_AUTO_TEST_CASE(ExampleFilesAreAccepted) {
  for (const char* part : {"entry", "scheduler", "admin"}) {
    const check_result result = Check(
        part, std::string(CHIVECRANK_SOURCE_DIR) + "/config/" + part + ".toml");
    BOOST_TEST(result.exit_code == kAccepted, result.output);
  }
}

BOOST_AUTO_TEST_CASE(WrongFilesGiveTheirMessageAndExitCodeTwo) {
  BOOST_TEST(kWrongFiles.size() == 22);
  for (const wrong_file& wrong : kWrongFiles) {
    const std::string text = Replaced(ValidText(wrong.part), wrong);
    const check_result result = Check(wrong.part, Write(text));
    BOOST_TEST(result.exit_code == kBadSettings, wrong.with);
    BOOST_TEST(result.output.find(wrong.message) != std::string::npos,
               "wanted \"" << wrong.message << "\", got: " << result.output);
  }
}

BOOST_AUTO_TEST_CASE(MissingFileIsNamed) {
  const check_result result = Check("entry", (folder / "none").string());
  BOOST_TEST(result.exit_code == kBadSettings);
  BOOST_TEST(result.output.find("can't be read; give the path") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
