#include "simhost/host.hpp"

#include <exception>
#include <utility>

namespace gorsemount::simhost {

namespace {

constexpr std::uint64_t kInstanceMost = 0xffffffffU;

Json fault_json(std::uint64_t id, const std::string& text) {
  return {{"t", "internal-error"}, {"i", id}, {"body-text", text}};
}

}  // namespace

std::string Host::process_batch(const std::string& line) {
  const Json batch = Json::parse(line);
  const Fields fields{batch, "batch"};
  const Instant now = Instant::at_seconds(fields.number("sim-time-s"));
  const Json& items = fields.array("items");
  for (std::size_t k = 0; k < items.size(); ++k) take(items[k], k);

  Json output = Json::array();
  for (auto& [id, instance] : instances_) answer(now, id, instance, output);
  return Json{{"output", std::move(output)}}.dump();
}

void Host::take(const Json& item, std::size_t place) {
  std::string where = "items[" + std::to_string(place) + "]";
  const std::string kind = Fields{item, where}.text("t");
  const Fields fields{item, where + " (" + kind + ")"};

  if (kind == "snapshot-rows") {  // one numbered list for the whole process; the newest of a number counts
    banks_[fields.unsigned_integer("bank", banks_.size() - 1)] = read_entries(fields);
    return;
  }
  if (kind == "provision") {
    const std::uint64_t id = fields.unsigned_integer("i", kInstanceMost);
    const std::uint64_t seed = fields.unsigned_integer("rng-seed", ~std::uint64_t{0});
    Settings settings = read_settings(fields.object("config"));
    Instance fresh;
    try {
      fresh.policy.emplace(std::move(settings), seed);
    } catch (const std::exception& failure) {
      fresh.fault = failure.what();
    }
    instances_.insert_or_assign(id, std::move(fresh));
    return;
  }

  const auto addressed = [&]() -> Instance* {
    const auto it = instances_.find(fields.unsigned_integer("i", kInstanceMost));
    if (it == instances_.end()) fields.fail("i", "names an instance that does not run");
    return &it->second;
  };
  if (kind == "crash-now") {
    addressed();
    instances_.erase(fields.unsigned_integer("i", kInstanceMost));
  } else if (kind == "registry") {
    BackendListUpdate listed;
    listed.scope = read_scope(fields);
    if (listed.scope != ListScope::failed) {
      const auto& bank = banks_[fields.unsigned_integer("bank", banks_.size() - 1)];
      if (!bank) fields.fail("bank", "names a list that never came");
      listed.entries = *bank;
    }
    addressed()->pending.emplace_back(std::move(listed));
  } else if (auto event = read_event(kind, fields)) {
    addressed()->pending.push_back(std::move(*event));
  }
}

void Host::answer(Instant now, std::uint64_t id, Instance& instance, Json& output) {
  if (!instance.policy) {
    if (!instance.fault.empty()) output.push_back(fault_json(id, std::exchange(instance.fault, {})));
    return;
  }
  if (instance.pending.empty()) return;
  const std::vector<Event> events = std::exchange(instance.pending, {});
  try {
    for (const Order& order : instance.policy->handle(now, events)) output.push_back(write_order(id, order));
  } catch (const std::exception& failure) {
    output.push_back(fault_json(id, failure.what()));
  }
}

}  // namespace gorsemount::simhost
