#include "record.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace review::record {
namespace {

int g_file = -1;

template <class Clock>
std::int64_t Milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Open(const std::string& path) {
  g_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void Write(const std::string& line) {
  const std::string text = std::to_string(WallMs()) + " " + line + "\n";
  if (write(g_file, text.data(), text.size()) < 0)
    return;
}

std::int64_t WallMs() {
  return Milliseconds<std::chrono::system_clock>();
}

std::int64_t SteadyMs() {
  return Milliseconds<std::chrono::steady_clock>();
}

}  // namespace review::record
