#include "revision_sampler.h"

#include <charconv>
#include <optional>
#include <utility>

#include "chivecrank/http/client.h"

namespace chivecrank::harness {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kInForceLimit{7};
constexpr std::chrono::milliseconds kPeriod{250};
constexpr std::chrono::milliseconds kCallTimeout{500};
constexpr std::string_view kPrefix = "ready, configuration revision ";

/// The revision that a ready daemon names.
std::optional<std::uint64_t> ReadRevision(const settings::endpoint& status) {
  http::client client(status);
  const auto answer = client.Call({"GET", "/readyz", {}, ""}, kCallTimeout);
  if (!answer.has_value() || !answer.value().body.starts_with(kPrefix))
    return std::nullopt;
  const std::string& body = answer.value().body;
  std::uint64_t revision = 0;
  std::from_chars(body.data() + kPrefix.size(), body.data() + body.size(),
                  revision);
  return revision;
}

}  // namespace

revision_sampler::revision_sampler(
    std::vector<settings::endpoint> status_addresses,
    promise_table& table)
    : addresses_(std::move(status_addresses)), table_(table) {}

revision_sampler::~revision_sampler() {
  Stop();
}

void revision_sampler::Start() {
  thread_ = std::thread([this] { Run(); });
}

void revision_sampler::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

void revision_sampler::Accepted(std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  if (revision <= accepted_)
    return;
  accepted_ = revision;
  accepted_at_ = steady::now();
  table_.AddCases(promise::kConfigurationInForce, 1);
}

void revision_sampler::SetDisturbed(bool disturbed) {
  std::lock_guard lock(mutex_);
  disturbed_ = disturbed;
  calm_since_ = steady::now();
}

void revision_sampler::Run() {
  while (!stopping_) {
    for (const settings::endpoint& address : addresses_)
      Sample(address);
    std::this_thread::sleep_for(kPeriod);
  }
}

void revision_sampler::Sample(const settings::endpoint& address) {
  const auto revision = ReadRevision(address);
  if (revision)
    Judge(address, *revision);
}

void revision_sampler::Judge(const settings::endpoint& address,
                             std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  const std::string name = settings::ToString(address);
  observation& known = seen_[name];
  if (revision < known.highest) {
    table_.AddViolation(promise::kConfigurationInForce,
                        name + " went from revision " +
                            std::to_string(known.highest) + " back to " +
                            std::to_string(revision));
  }
  known.highest = std::max(known.highest, revision);
  const steady::time_point now = steady::now();
  const bool due = !disturbed_ && now - calm_since_ > kInForceLimit &&
                   now - accepted_at_ > kInForceLimit;
  if (due && revision < accepted_) {
    table_.AddViolation(promise::kConfigurationInForce,
                        name + " has revision " + std::to_string(revision) +
                            " 7 s after " + std::to_string(accepted_) +
                            " was accepted");
  }
}

}  // namespace chivecrank::harness
