#include "probes/prober.hpp"

#include <cmath>

#include "probes/load_reply.hpp"

namespace gorsemount::probes {

namespace {

constexpr std::size_t kReplyMost = 4U << 20U;  // twenty thousand counters, generously

}  // namespace

struct Prober::Asked {
  Asked(net::Loop& loop, const Endpoint& to)
      : at{to}, loop_of{loop}, health{loop, to}, load{loop, to, {}, kReplyMost} {}
  ~Asked() { loop_of.cancel(next_health), loop_of.cancel(next_load); }
  Endpoint at;
  net::Loop& loop_of;
  net::HttpClient health, load;
  net::Loop::Timer next_health, next_load;
};

Prober::Prober(net::Loop& loop, ProberSettings settings, Report report)
    : loop_{loop}, s_{std::move(settings)}, report_{std::move(report)} {}
Prober::~Prober() = default;

void Prober::set_backends(const std::map<BackendId, Endpoint>& backends) {
  std::erase_if(asked_, [&](const auto& row) {
    const auto it = backends.find(row.first);
    return it == backends.end() || it->second != row.second->at;
  });
  std::size_t place = 0;
  for (const auto& [id, at] : backends) {
    ++place;
    auto& asked = asked_[id];
    if (asked) continue;
    asked = std::make_unique<Asked>(loop_, at);
    // Golden steps spread any number of backends evenly over the interval.
    const double phase = std::fmod(0.618034 * static_cast<double>(place), 1.0);
    asked->next_load = loop_.after(Span::seconds(0.02 * phase), [this, id = id] { load(id); });
    health_in(id, s_.health_every * phase);
  }
}

void Prober::health(BackendId id) {
  asked_.at(id)->health.send(
      {"GET", s_.health_path, {}, {}, true}, s_.health_timeout, [this, id](net::HttpClient::Result r) {
        using Outcome = net::HttpClient::Outcome;
        const bool well = r.outcome == Outcome::answered && r.response.status == 200;
        const auto health = well                            ? coordinator::Health::passed
                            : r.outcome == Outcome::refused ? coordinator::Health::refused
                                                            : coordinator::Health::failed;
        // One failed call proves little: more follow soon, so that the next round can tell.
        health_in(id, well ? std::max(Span{}, s_.health_every - r.latency) : s_.health_again);
        report_(coordinator::HealthCheckResult{id, health, r.latency});
      });
}

void Prober::health_in(BackendId id, Span wait) {
  Asked& asked = *asked_.at(id);
  loop_.cancel(asked.next_health);
  asked.next_health = loop_.after(wait, [this, id] { health(id); });
}

void Prober::load(BackendId id) {
  Asked& asked = *asked_.at(id);
  asked.next_load = loop_.after(s_.load_every, [this, id] { load(id); });
  if (asked.load.busy()) return;
  asked.load.send(
      {"GET", s_.load_path, {}, {}, true}, s_.load_timeout, [this, id](net::HttpClient::Result r) {
        if (r.outcome != net::HttpClient::Outcome::answered)
          return report_(coordinator::LoadPollFailed{id, net::name_of(r.outcome)});
        if (r.response.status != 200)
          return report_(coordinator::LoadPollFailed{id, "status " + std::to_string(r.response.status)});
        auto read = read_load(r.response.body, s_.operations);
        if (auto* sample = std::get_if<coordinator::LoadSample>(&read)) {
          report_(coordinator::LoadReport{id, r.requested_at, std::move(*sample)});
        } else {
          report_(coordinator::LoadPollFailed{id, std::get<std::string>(read)});
        }
      });
}

}  // namespace gorsemount::probes
