#include "chivecrank/runtime/shard_status.h"

#include <cstddef>
#include <cstdint>

#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"

namespace chivecrank::runtime {

namespace {

/// A size is written as three numbers.
constexpr std::size_t kNumbersPerSize = 3;

void WriteSizes(json::writer& text,
                const std::string& service,
                const std::vector<coordination::resources>& sizes) {
  text.Key(service).BeginArray();
  for (const coordination::resources& size : sizes) {
    text.Integer(size.processors_milli);
    text.Integer(size.memory_mib);
    text.Integer(size.accelerators);
  }
  text.EndArray();
}

void ReadSizes(const json::value& from, submissions::worker_sizes& sizes) {
  for (const auto& member : from.GetObject()) {
    const json::value& numbers = member.value;
    if (!numbers.IsArray())
      continue;
    for (std::size_t i = 0; i + kNumbersPerSize <= numbers.Size();
         i += kNumbersPerSize)
      sizes.Add(member.name.GetString(),
                {json::IntegerAt(numbers, i), json::IntegerAt(numbers, i + 1),
                 json::IntegerAt(numbers, i + 2)});
  }
}

}  // namespace

shard_room RoomOf(const shard_status& status) {
  return {.capacity_milli = status.capacity_milli,
          .free_milli = status.capacity_milli - status.reserved_milli,
          .workers_by_free_cores = status.workers_by_free_cores};
}

std::string EncodeShardStatus(const shard_status& status) {
  json::writer text;
  text.BeginObject()
      .Field("fence", status.fence)
      .Field("as_of", status.as_of)
      .Field("capacity", status.capacity_milli)
      .Field("reserved", status.reserved_milli)
      .Field("owner_processors", status.owner_processors_milli)
      .Key("free_cores")
      .BeginArray();
  for (const std::int32_t workers : status.workers_by_free_cores)
    text.Integer(workers);
  text.EndArray().Key("sizes").BeginObject();
  for (const auto& [service, sizes] : status.sizes.All())
    WriteSizes(text, service, sizes);
  text.EndObject().Key("not_started").BeginArray();
  for (const std::string& id : status.not_started)
    text.String(id);
  text.EndArray().EndObject();
  return text.Text();
}

std::optional<shard_status> DecodeShardStatus(const metadata::item& stored) {
  const auto parsed = json::ParseObject(stored.value);
  if (!parsed)
    return std::nullopt;
  shard_status status;
  status.written_revision = stored.changed_at;
  status.fence = json::IntegerOf(parsed.value(), "fence");
  status.as_of = json::IntegerOf(parsed.value(), "as_of");
  // Owners of older programs don't tell.
  if (status.as_of == 0)
    status.as_of = stored.changed_at;
  status.capacity_milli = json::IntegerOf(parsed.value(), "capacity");
  status.reserved_milli = json::IntegerOf(parsed.value(), "reserved");
  status.owner_processors_milli =
      json::IntegerOf(parsed.value(), "owner_processors");
  if (const json::value* workers = json::ArrayOf(parsed.value(), "free_cores"))
    for (std::size_t i = 0; i < workers->Size(); ++i)
      status.workers_by_free_cores.push_back(
          static_cast<std::int32_t>(json::IntegerAt(*workers, i)));
  if (const json::value* sizes = json::ObjectOf(parsed.value(), "sizes"))
    ReadSizes(*sizes, status.sizes);
  if (const json::value* ids = json::ArrayOf(parsed.value(), "not_started"))
    for (std::size_t i = 0; i < ids->Size(); ++i)
      status.not_started.insert(json::StringAt(*ids, i));
  return status;
}

}  // namespace chivecrank::runtime
