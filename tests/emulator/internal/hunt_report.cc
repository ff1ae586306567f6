#include <absl/strings/str_format.h>

#include "chivecrank/emulator/hunt.h"

namespace chivecrank::emulator {
namespace {

std::string Describe(const day_fault& fault) {
  std::string text = absl::StrFormat(
      "%s at %d for %d ms, count %d, strength %.2f", NameOf(fault.kind),
      fault.at.count(), fault.lasts.count(), fault.count, fault.strength);
  if (fault.aim == fault_aim::kOwner)
    text += ", owner first";
  if (fault.takes_keys)
    text += ", keys taken";
  if (fault.times > 1)
    text += absl::StrFormat(", %d times each %d ms", fault.times,
                            fault.every.count());
  return text;
}

std::string FirstBroken(const day_report& report) {
  if (!report.broken.empty())
    return report.broken.front().name + " " + report.broken.front().task;
  if (!report.idle_lasting.empty())
    return "lasting and without a run " + report.idle_lasting.front().task;
  if (!report.open.empty())
    return "accepted and never ended " + report.open.front();
  return "none";
}

}  // namespace

std::string DescribeBrokenDay(const day_description& day,
                              const day_report& report,
                              std::uint64_t seed) {
  std::string text = absl::StrFormat(
      "--hunt 1 --seed %d: %d lasting without a run, %d other promises broken, "
      "%d never ended; first: %s; %d instances, %d workers",
      seed, report.idle_lasting.size(), report.broken.size(),
      report.open.size(), FirstBroken(report), day.system.instances,
      day.system.workers);
  for (const day_fault& fault : day.faults)
    text += "; " + Describe(fault);
  return text;
}

}  // namespace chivecrank::emulator
