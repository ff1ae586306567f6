#include "chivecrank/adapter/environment.h"
#include "instance_program.h"

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_instance",
                      "One instance: takes submissions in and runs the shards "
                      "that it owns.",
                      argc, argv);
  apps::instance_settings read;
  return process::RunDaemon(
      [&](settings::section& root) { read = apps::ReadInstanceSettings(root); },
      [&] { return apps::instance_program(read).Run(); },
      adapter::SettingsPath());
}
