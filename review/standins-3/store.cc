#include "store.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include "record.h"

namespace review {
namespace {

constexpr std::chrono::milliseconds kAnswerTime{4};
constexpr std::chrono::milliseconds kExpiryInterval{20};
constexpr std::int64_t kHistoryMs = 20'000;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxEntries = 32;
constexpr int kMissedReports = 3;
constexpr char kBase64Digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

std::string Base64(const std::string& plain) {
  std::string text;
  for (std::size_t i = 0; i < plain.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 |
             (i + j < plain.size() ? static_cast<unsigned char>(plain[i + j])
                                   : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= plain.size() ? kBase64Digits[bits >> (18 - 6 * j) & 63U]
                                    : '=';
  }
  return text;
}

std::int64_t Number(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

std::string Field(const http::request& asked, const std::string& name) {
  const auto found = asked.query.find(name);
  return found == asked.query.end() ? "" : found->second;
}

std::string TextOf(const rapidjson::Value& from, const char* name) {
  const auto found = from.FindMember(name);
  return found != from.MemberEnd() && found->value.IsString()
             ? found->value.GetString()
             : "";
}

std::int64_t NumberOf(const rapidjson::Value& from, const char* name) {
  const auto found = from.FindMember(name);
  return found != from.MemberEnd() && found->value.IsInt64()
             ? found->value.GetInt64()
             : 0;
}

store::transaction TransactionOf(const rapidjson::Document& body) {
  store::transaction changes;
  if (body.HasMember("Precondition"))
    for (const auto& row : body["Precondition"].GetArray())
      changes.conditions.push_back(
          {TextOf(row, "Key"), NumberOf(row, "Revision")});
  if (body.HasMember("Puts"))
    for (const auto& row : body["Puts"].GetArray())
      changes.writes.push_back(
          {TextOf(row, "Key"), TextOf(row, "Value"), NumberOf(row, "Lease")});
  if (body.HasMember("Deletes"))
    for (const auto& row : body["Deletes"].GetArray())
      changes.deletes.emplace_back(row.GetString());
  return changes;
}

}  // namespace

bool store::transaction::Writes(const std::string& prefix) const {
  return std::ranges::any_of(writes, [&](const write& written) {
    return written.key.starts_with(prefix);
  });
}

store::store(int heartbeat_ms) : heartbeat_ms_(heartbeat_ms) {}

bool store::Listen(std::uint16_t port) {
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kExpiryInterval);
      const std::lock_guard lock(mutex_);
      Expire();
    }
  }).detach();
  return http::Serve(
      port, [this](const http::request& asked) { return Handle(asked); });
}

void store::SetFate(fate_hook hook) {
  const std::lock_guard lock(mutex_);
  fate_ = std::move(hook);
}

void store::Put(const std::string& key, const std::string& plain_value) {
  const std::lock_guard lock(mutex_);
  PutItem(key, Base64(plain_value), 0, ++revision_);
}

bool store::Has(const std::string& key) {
  const std::lock_guard lock(mutex_);
  return items_.contains(key);
}

std::optional<http::response> store::Handle(const http::request& asked) {
  std::this_thread::sleep_for(kAnswerTime);
  const std::string& path = asked.path;
  const std::string keep = "/-/kv-keep/";
  const std::string end = "/-/kv-lease-end/";
  if (path == "/-/kv-key")
    return Get(Field(asked, "Key"));
  if (path == "/-/kv-range")
    return List(asked);
  if (path == "/-/kv-watch")
    return Watch(asked);
  if (path == "/-/kv-txn")
    return Commit(asked);
  if (path == "/-/kv-lease")
    return Grant(asked);
  if (path.starts_with(keep))
    return Renew(Number(path.substr(keep.size())));
  if (path.starts_with(end))
    return End(Number(path.substr(end.size())));
  if (path.starts_with("/worker/"))
    return Beat(asked);
  return http::response{404, ""};
}

namespace {

template <class Item>
void WriteItem(json_writer& text, const std::string& key, const Item& shown) {
  text.StartObject();
  text.Key("Key");
  text.String(key.c_str());
  text.Key("Value");
  text.String(shown.value.c_str());
  text.Key("Revision");
  text.Int64(shown.revision);
  text.Key("Created");
  text.Int64(shown.created);
  text.Key("Lease");
  text.Int64(shown.lease);
  text.EndObject();
}

}  // namespace

http::response store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  if (found == items_.end())
    return {404, "{\"CurrentRev\":" + std::to_string(revision_) + "}"};
  rapidjson::StringBuffer buffer;
  json_writer text(buffer);
  WriteItem(text, key, found->second);
  std::string body = buffer.GetString();
  body.pop_back();
  return {200, body + ",\"CurrentRev\":" + std::to_string(revision_) + "}"};
}

http::response store::List(const http::request& asked) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = Field(asked, "Prefix");
  const std::string after = Field(asked, "After");
  rapidjson::StringBuffer buffer;
  json_writer text(buffer);
  text.StartObject();
  text.Key("items");
  text.StartArray();
  std::size_t count = 0;
  bool truncated = false;
  for (auto next = items_.lower_bound(std::max(prefix, after));
       next != items_.end() && next->first.starts_with(prefix); ++next) {
    if (next->first == after)
      continue;
    truncated = count == kMaxPageItems;
    if (truncated)
      break;
    WriteItem(text, next->first, next->second);
    ++count;
  }
  text.EndArray();
  text.Key("Truncated");
  text.Bool(truncated);
  text.Key("CurrentRev");
  text.Int64(revision_);
  text.EndObject();
  return {200, buffer.GetString()};
}

http::response store::Watch(const http::request& asked) {
  const std::string prefix = Field(asked, "Prefix");
  const std::int64_t after = Number(Field(asked, "After"));
  const auto deadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(Number(Field(asked, "WaitMs")));
  std::unique_lock lock(mutex_);
  const auto is_shown = [&](const change& made) {
    return made.revision > after && made.key.starts_with(prefix);
  };
  changed_.wait_until(lock, deadline,
                      [&] { return std::ranges::any_of(history_, is_shown); });
  if (after < forgotten_revision_)
    return {410, "{}"};
  rapidjson::StringBuffer buffer;
  json_writer text(buffer);
  text.StartObject();
  text.Key("events");
  text.StartArray();
  for (const change& made : history_) {
    if (!is_shown(made))
      continue;
    if (made.now) {
      WriteItem(text, made.key, *made.now);
      continue;
    }
    text.StartObject();
    text.Key("Key");
    text.String(made.key.c_str());
    text.Key("Revision");
    text.Int64(made.revision);
    text.Key("Tombstone");
    text.Bool(true);
    text.EndObject();
  }
  text.EndArray();
  text.Key("CurrentRev");
  text.Int64(revision_);
  text.EndObject();
  return {200, buffer.GetString()};
}

std::optional<http::response> store::Commit(const http::request& asked) {
  rapidjson::Document body;
  body.Parse(asked.body.c_str());
  if (!body.IsObject())
    return http::response{400, "{}"};
  const transaction changes = TransactionOf(body);
  if (changes.conditions.size() + changes.writes.size() +
          changes.deletes.size() >
      kMaxEntries)
    return http::response{400, "{}"};
  const auto is_foreign = [](const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
  };
  if (std::ranges::any_of(changes.writes, is_foreign, &write::key))
    return http::response{403, "{}"};
  std::unique_lock lock(mutex_);
  const fate decided = fate_ ? fate_(changes) : fate{};
  if (decided.answered)
    return Apply(changes);
  lock.unlock();
  std::thread([this, changes, decided] {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(decided.carried_out_after_ms));
    const std::lock_guard relock(mutex_);
    const int code = Apply(changes).code;
    for (const write& written : changes.writes)
      record::Write("store late write " + written.key + " -> " +
                    std::to_string(code));
  }).detach();
  return std::nullopt;
}

http::response store::Apply(const transaction& changes) {
  Expire();
  const auto revision_of = [this](const std::string& key) {
    const auto found = items_.find(key);
    return found == items_.end() ? 0 : found->second.revision;
  };
  const bool holds =
      std::ranges::all_of(changes.conditions, [&](const condition& wanted) {
        return revision_of(wanted.key) == wanted.revision;
      });
  if (!holds) {
    rapidjson::StringBuffer buffer;
    json_writer text(buffer);
    text.StartObject();
    text.Key("items");
    text.StartArray();
    for (const condition& wanted : changes.conditions) {
      const auto found = items_.find(wanted.key);
      if (found != items_.end())
        WriteItem(text, wanted.key, found->second);
    }
    text.EndArray();
    text.EndObject();
    return {412, buffer.GetString()};
  }
  for (const write& written : changes.writes)
    if (written.lease != 0 && !leases_.contains(written.lease))
      return {404, "{}"};
  const std::int64_t revision = ++revision_;
  for (const write& written : changes.writes)
    PutItem(written.key, written.value, written.lease, revision);
  for (const std::string& key : changes.deletes)
    DeleteItem(key, revision);
  return {200, "{\"Revision\":" + std::to_string(revision) + "}"};
}

http::response store::Grant(const http::request& asked) {
  rapidjson::Document body;
  body.Parse(asked.body.c_str());
  const std::lock_guard lock(mutex_);
  const std::int64_t term = NumberOf(body, "TtlMs");
  const std::int64_t id = ++last_lease_;
  leases_[id] = {term, record::SteadyMs() + term, {}};
  return {200, "{\"Lease\":" + std::to_string(id) +
                   ",\"TtlMs\":" + std::to_string(term) + "}"};
}

http::response store::Renew(std::int64_t id) {
  const std::lock_guard lock(mutex_);
  Expire();
  const auto found = leases_.find(id);
  if (found == leases_.end())
    return {404, "{}"};
  found->second.ends_at_ms = record::SteadyMs() + found->second.term_ms;
  return {200, "{\"Lease\":" + std::to_string(id) +
                   ",\"TtlMs\":" + std::to_string(found->second.term_ms) + "}"};
}

http::response store::End(std::int64_t id) {
  const std::lock_guard lock(mutex_);
  const auto found = leases_.find(id);
  if (found == leases_.end())
    return {404, "{}"};
  found->second.ends_at_ms = 0;
  Expire();
  return {200, "{}"};
}

http::response store::Beat(const http::request& asked) {
  const std::lock_guard lock(mutex_);
  const std::string key = "servers/" + asked.path.substr(8);
  reported_at_[key] = record::SteadyMs();
  const std::string value = Base64(asked.body);
  const auto found = items_.find(key);
  if (found == items_.end() || found->second.value != value)
    PutItem(key, value, 0, ++revision_);
  return {200, "{}"};
}

void store::PutItem(const std::string& key,
                    const std::string& value,
                    std::int64_t lease,
                    std::int64_t revision) {
  item& stored = items_[key];
  if (stored.lease != lease && stored.lease != 0)
    leases_[stored.lease].keys.erase(key);
  stored.value = value;
  stored.revision = revision;
  stored.created = stored.created == 0 ? revision : stored.created;
  stored.lease = lease;
  if (lease != 0)
    leases_[lease].keys.insert(key);
  history_.push_back({key, revision, stored, record::SteadyMs()});
  changed_.notify_all();
}

void store::DeleteItem(const std::string& key, std::int64_t revision) {
  const auto found = items_.find(key);
  if (found == items_.end())
    return;
  items_.erase(found);
  history_.push_back({key, revision, std::nullopt, record::SteadyMs()});
  changed_.notify_all();
}

void store::Expire() {
  const std::int64_t now = record::SteadyMs();
  for (auto next = leases_.begin(); next != leases_.end();) {
    if (next->second.ends_at_ms > now) {
      ++next;
      continue;
    }
    const auto keys = next->second.keys;
    next = leases_.erase(next);
    for (const std::string& key : keys)
      DeleteItem(key, ++revision_);
  }
  for (auto next = reported_at_.begin(); next != reported_at_.end();) {
    if (now - next->second < kMissedReports * heartbeat_ms_) {
      ++next;
      continue;
    }
    DeleteItem(next->first, ++revision_);
    next = reported_at_.erase(next);
  }
  while (!history_.empty() && now - history_.front().at_ms > kHistoryMs) {
    forgotten_revision_ = history_.front().revision;
    history_.pop_front();
  }
}

}  // namespace review
