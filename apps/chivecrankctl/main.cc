#include <absl/flags/flag.h>

#include <cstdlib>
#include <iostream>

#include "chivecrank/process/program.h"
#include "chivecrank/settings/document.h"
#include "commands.h"
#include "explain_command.h"

ABSL_FLAG(std::string,
          admin,
          "127.0.0.1:7400",
          "ip:port of the administration API");
ABSL_FLAG(std::string,
          token,
          "",
          "operator token; CHIVECRANK_TOKEN in the environment by default");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, comment, "", "why, for the audit history");
ABSL_FLAG(bool, dry_run, false, "check and compare, but change nothing");
ABSL_FLAG(bool, wait, false, "return when a change is in force everywhere");
ABSL_FLAG(int, wait_seconds, 60, "how long --wait waits at most");

namespace chivecrank::ctl {
namespace {

std::string Token() {
  std::string given = absl::GetFlag(FLAGS_token);
  const char* ambient = std::getenv("CHIVECRANK_TOKEN");
  if (given.empty() && ambient != nullptr)
    return ambient;
  return given;
}

int Run(const std::vector<std::string>& arguments) {
  settings::document flags = settings::document::FromText(
      "admin = '" + absl::GetFlag(FLAGS_admin) + "'", "--admin");
  settings::section root = flags.Root();
  const settings::endpoint address = root.Endpoint("admin");
  for (const settings::problem& fault : flags.Finish()) {
    std::cerr << "--admin " << fault.message << "; " << fault.remedy << "\n";
    return static_cast<int>(exit_code::kBadUsage);
  }
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    std::cerr << "--output must be table or json\n";
    return static_cast<int>(exit_code::kBadUsage);
  }
  const output_format format =
      output == "json" ? output_format::kJson : output_format::kTable;
  if (!arguments.empty() && arguments.front() == "explain")
    return static_cast<int>(Explain(format, arguments));
  admin_client admin(address, Token());
  command_context context{
      admin,
      format,
      absl::GetFlag(FLAGS_comment),
      absl::GetFlag(FLAGS_dry_run),
      absl::GetFlag(FLAGS_wait),
      std::chrono::seconds(absl::GetFlag(FLAGS_wait_seconds))};
  return static_cast<int>(RunCommand(context, arguments));
}

}  // namespace
}  // namespace chivecrank::ctl

int main(int argc, char** argv) {
  return chivecrank::ctl::Run(chivecrank::process::Initialize(
      "chivecrankctl", "Administers chivecrank from the command line.", argc,
      argv));
}
