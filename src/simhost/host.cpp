#include "simhost/host.hpp"

#include <exception>
#include <utility>

namespace gorsemount::simhost {

namespace {

constexpr std::uint64_t kMaxInstanceId = 0xffffffffU;

Json error_json(std::uint64_t id, const std::string& text) {
  return {{"t", "internal-error"}, {"i", id}, {"body-text", text}};
}

}  // namespace

std::string Host::process_batch(const std::string& line) {
  const Json batch = Json::parse(line);
  const Fields fields{batch, "batch"};
  const Instant now = Instant::at_seconds(fields.number("sim-time-s"));
  const Json& items = fields.array("items");
  for (std::size_t position = 0; position < items.size(); ++position) apply(items[position], position);

  Json output = Json::array();
  for (auto& [id, instance] : instances_) run(now, id, instance, output);
  return Json{{"output", std::move(output)}}.dump();
}

void Host::apply(const Json& item, std::size_t index) {
  std::string where = "items[" + std::to_string(index) + "]";
  const std::string kind = Fields{item, where}.text("t");
  const Fields fields{item, where + " (" + kind + ")"};

  // Lists are shared by all instances; a new list replaces the former one of its number.
  if (kind == "snapshot-rows") {
    backend_lists_[fields.unsigned_integer("bank", backend_lists_.size() - 1)] = read_entries(fields);
    return;
  }
  if (kind == "provision") {
    const std::uint64_t id = fields.unsigned_integer("i", kMaxInstanceId);
    const std::uint64_t seed = fields.unsigned_integer("rng-seed", ~std::uint64_t{0});
    Settings settings = read_settings(fields.object("config"));
    Instance created;
    try {
      created.policy.emplace(std::move(settings), seed);
    } catch (const std::exception& error) {
      created.start_error = error.what();
    }
    instances_.insert_or_assign(id, std::move(created));
    return;
  }

  const auto target_instance = [&]() -> Instance* {
    const auto it = instances_.find(fields.unsigned_integer("i", kMaxInstanceId));
    if (it == instances_.end()) fields.fail("i", "names an instance that is not running");
    return &it->second;
  };
  if (kind == "crash-now") {
    target_instance();
    instances_.erase(fields.unsigned_integer("i", kMaxInstanceId));
  } else if (kind == "registry") {
    BackendListUpdate update;
    update.scope = read_scope(fields);
    if (update.scope != ListScope::failed) {
      const auto& backend_list = backend_lists_[fields.unsigned_integer("bank", backend_lists_.size() - 1)];
      if (!backend_list) fields.fail("bank", "names a list that was not received");
      update.entries = *backend_list;
    }
    target_instance()->pending.emplace_back(std::move(update));
  } else if (auto event = read_event(kind, fields)) {
    target_instance()->pending.push_back(std::move(*event));
  }
}

void Host::run(Instant now, std::uint64_t id, Instance& instance, Json& output) {
  if (!instance.policy) {
    if (!instance.start_error.empty())
      output.push_back(error_json(id, std::exchange(instance.start_error, {})));
    return;
  }
  if (instance.pending.empty()) return;
  const std::vector<Event> events = std::exchange(instance.pending, {});
  try {
    for (const Order& order : instance.policy->handle(now, events)) output.push_back(write_order(id, order));
  } catch (const std::exception& error) {
    output.push_back(error_json(id, error.what()));
  }
}

}  // namespace gorsemount::simhost
