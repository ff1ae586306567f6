#include "chivecrank/operators/fleet_api.h"

#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/drained_instance_list.h"
#include "internal/status_page.h"

namespace chivecrank::operators {
namespace {

using http::json_array;
using http::json_object;

json_object NewObject() {
  return new Poco::JSON::Object;
}

json_array NewArray() {
  return new Poco::JSON::Array;
}

json_object EncodeProcess(const configuration::process_state& one) {
  const membership::peer& who = one.process.identity;
  json_object item = NewObject();
  item->set("instance", who.instance);
  item->set("daemon", std::string(membership::DaemonName(who.role)));
  item->set("failure_domain", who.failure_domain);
  item->set("address", settings::ToString(who.address));
  item->set("status",
            std::string(membership::MemberStatusName(one.process.status)));
  item->set("reached", one.reached);
  item->set("revision", one.active_revision);
  return item;
}

json_object EncodeWorker(const coordination::instance& worker, bool drained) {
  json_object item = NewObject();
  item->set("worker", worker.id);
  item->set("failure_domain", worker.failure_domain);
  item->set("rack", worker.rack);
  item->set("state",
            std::string(coordination::InstanceStateName(worker.state)));
  item->set("drained", drained);
  item->set("processors_milli", worker.capacity.processors_milli);
  item->set("memory_mib", worker.capacity.memory_mib);
  item->set("accelerators", worker.capacity.accelerators);
  item->set("slots", worker.slots);
  return item;
}

base::error NotKnownYet() {
  return {base::error_kind::kUnavailable, "the configuration is not known yet",
          "try again when /readyz of this instance answers 200"};
}

}  // namespace

fleet_api::fleet_api(coordination::instance_list& listed,
                     const configuration::view& configured,
                     fleet_sources sources)
    : listed_(listed), configured_(configured), sources_(std::move(sources)) {}

fleet_api::answer fleet_api::Instances() const {
  json_array processes = NewArray();
  for (const configuration::process_state& one : sources_.processes())
    processes->add(EncodeProcess(one));
  json_object body = NewObject();
  body->set("processes", processes);
  return body;
}

fleet_api::answer fleet_api::Workers() const {
  const configuration::shared_snapshot current = configured_.Current();
  if (!current)
    return NotKnownYet();
  BOOST_OUTCOME_TRY(listed, listed_.List());
  json_array workers = NewArray();
  for (const coordination::instance& one : listed) {
    if (one.kind == coordination::instance_kind::kWorker) {
      workers->add(
          EncodeWorker(one, configuration::IsDrained(current->content, one)));
    }
  }
  json_object body = NewObject();
  body->set("workers", workers);
  return body;
}

fleet_api::answer fleet_api::Teams() const {
  const configuration::shared_snapshot current = configured_.Current();
  if (!current)
    return NotKnownYet();
  json_object body = NewObject();
  body->set(
      "teams",
      http::ArrayOf(configuration::EncodeContent(current->content), "teams"));
  return body;
}

fleet_api::answer fleet_api::Shards() const {
  BOOST_OUTCOME_TRY(owners, sources_.owners());
  json_array shards = NewArray();
  for (const ownership::owner& one : owners) {
    json_object item = NewObject();
    item->set("shard", one.shard);
    item->set("owner", one.instance);
    item->set("epoch", one.epoch);
    shards->add(item);
  }
  json_object body = NewObject();
  body->set("shards", shards);
  return body;
}

fleet_api::answer fleet_api::Status(configuration::revision number) const {
  json_array behind = NewArray();
  const auto processes = sources_.processes();
  for (const configuration::process_state& one : processes) {
    if (!one.reached || one.active_revision < number)
      behind->add(EncodeProcess(one));
  }
  json_object body = NewObject();
  body->set("revision", number);
  body->set("in_force_everywhere", behind->size() == 0);
  body->set("processes", processes.size());
  body->set("behind", behind);
  return body;
}

fleet_api::answer fleet_api::Job(
    const instances::job_reference& reference) const {
  BOOST_OUTCOME_TRY(report, sources_.describe_job(reference));
  json_object body = NewObject();
  body->set("job", report.job_id);
  body->set("template", report.template_name);
  body->set("state", report.state);
  body->set("attempts", report.attempts);
  body->set("worker", report.worker_id);
  body->set("detail", report.detail);
  return body;
}

std::string fleet_api::Page() const {
  const configuration::shared_snapshot current = configured_.Current();
  return internal::StatusPage(
      {current ? current->revision : 0, Workers(), Instances(), Shards()});
}

}  // namespace chivecrank::operators
