#include "chivecrank/shards/types.h"

#include <set>

namespace chivecrank::shards {

protocol::lease_terms LeaseTermsOf(const shard_settings& settings) {
  return {settings.task_lease_term, settings.clock_margin,
          settings.outage_grace};
}

std::string ShardOf(const coordination::instance& worker) {
  return worker.failure_domain + "." + worker.rack;
}

std::vector<std::string> ShardsOf(
    const std::vector<coordination::instance>& all) {
  std::set<std::string> shards;
  for (const coordination::instance& entry : all) {
    if (entry.kind == coordination::instance_kind::kWorker)
      shards.insert(ShardOf(entry));
  }
  return {shards.begin(), shards.end()};
}

std::string ShardOfTask(const std::string& task_id) {
  const std::size_t separator = task_id.find(':');
  return separator == std::string::npos ? "" : task_id.substr(0, separator);
}

}  // namespace chivecrank::shards
