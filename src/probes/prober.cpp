#include "probes/prober.hpp"

#include <cmath>

#include "probes/load_reply.hpp"

namespace gorsemount::probes {

namespace {

constexpr std::size_t kMaxReplyBytes = 4U << 20U;  // room for 20,000 counters

}  // namespace

struct Prober::Target {
  Target(net::Loop& loop, const Endpoint& to)
      : at{to}, owner_loop{loop}, health{loop, to}, load{loop, to, {}, kMaxReplyBytes} {}
  ~Target() { owner_loop.cancel(next_health_check), owner_loop.cancel(next_load_poll); }
  Endpoint at;
  net::Loop& owner_loop;
  net::HttpClient health, load;
  net::Loop::Timer next_health_check, next_load_poll;
};

Prober::Prober(net::Loop& loop, ProberSettings settings, Report report)
    : loop_{loop}, settings_{std::move(settings)}, report_{std::move(report)} {}
Prober::~Prober() = default;

void Prober::set_backends(const std::map<BackendId, Endpoint>& backends) {
  std::erase_if(targets_, [&](const auto& entry) {
    const auto it = backends.find(entry.first);
    return it == backends.end() || it->second != entry.second->at;
  });
  std::size_t position = 0;
  for (const auto& [id, at] : backends) {
    ++position;
    auto& target = targets_[id];
    if (target) continue;
    target = std::make_unique<Target>(loop_, at);
    // Steps of the golden ratio spread any number of backends evenly over the interval.
    const double offset = std::fmod(0.618034 * static_cast<double>(position), 1.0);
    target->next_load_poll = loop_.after(Span::seconds(0.02 * offset), [this, id = id] { poll_load(id); });
    schedule_health_check(id, settings_.health_interval * offset);
  }
}

void Prober::check_health(BackendId id) {
  targets_.at(id)->health.send(
      {"GET", settings_.health_path, {}, {}, true}, settings_.health_timeout,
      [this, id](const net::HttpClient::Result& result) {
        using Outcome = net::HttpClient::Outcome;
        const bool passed = result.outcome == Outcome::answered && result.response.status == 200;
        const auto health = passed                               ? coordinator::Health::passed
                            : result.outcome == Outcome::refused ? coordinator::Health::refused
                                                                 : coordinator::Health::failed;
        // A single failure is weak evidence: retry soon, so that the coordinator's next step can decide.
        schedule_health_check(id, passed ? std::max(Span{}, settings_.health_interval - result.latency)
                                         : settings_.health_retry_interval);
        report_(coordinator::HealthCheckResult{id, health, result.latency});
      });
}

void Prober::schedule_health_check(BackendId id, Span delay) {
  Target& target = *targets_.at(id);
  loop_.cancel(target.next_health_check);
  target.next_health_check = loop_.after(delay, [this, id] { check_health(id); });
}

void Prober::poll_load(BackendId id) {
  Target& target = *targets_.at(id);
  target.next_load_poll = loop_.after(settings_.load_interval, [this, id] { poll_load(id); });
  if (target.load.busy()) return;
  target.load.send(
      {"GET", settings_.load_path, {}, {}, true}, settings_.load_timeout,
      [this, id](const net::HttpClient::Result& result) {
        if (result.outcome != net::HttpClient::Outcome::answered)
          return report_(coordinator::LoadPollFailed{id, net::name_of(result.outcome)});
        if (result.response.status != 200)
          return report_(coordinator::LoadPollFailed{id, "status " + std::to_string(result.response.status)});
        auto parsed = parse_load_reply(result.response.body, settings_.operations);
        if (auto* sample = std::get_if<coordinator::LoadSample>(&parsed)) {
          report_(coordinator::LoadReport{id, result.requested_at, std::move(*sample)});
        } else {
          report_(coordinator::LoadPollFailed{id, std::get<std::string>(parsed)});
        }
      });
}

}  // namespace gorsemount::probes
