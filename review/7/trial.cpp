// Case 7: half of the backends are replaced in steps while the two coordinators are restarted, one at a time.
// Checks that joined proxies stop sending to a backend within the grace.
#include "../world-2.hpp"

namespace {

using namespace world;

constexpr double kRollAt = 8, kStep = 0.7, kDrainTime = 3;
constexpr double kRestartFirst = 8.2, kRestartSecond = 11;
constexpr double kBackAfter = 0.3;  // from the end of the process to its next start
constexpr double kSlack = 0.3;      // time limits on sockets are longer by this

Deployment deployment() {
  Deployment d;
  d.zones = {"kariakoo", "mikocheni", "ubungo"};
  d.classes = {{"refill-check", "read_like", 1.5, 4, 2, 0.48, false, false},
               {"stock-lookup", "read_like", 1.2, 3, 1, 0.28, true, false},
               {"place-order", "non_idempotent", 1.2, 3, 3, 0.24, false, true}};
  d.coordinators = 2, d.proxies = 400;
  d.rate_per_proxy = 1, d.backend_capacity = 24, d.outlier_after = 5;
  return d;
}

class Roll : public World {
 public:
  Roll(const char* folder, const char* record, const char* run) : World{deployment(), folder, record, run} {}

  int play(bool trouble) {
    for (int n = 0; n < 30; ++n) add_backend(static_cast<std::size_t>(n) % d.zones.size());
    for (const char* name : {"n0", "n1"}) coordinators.emplace_back().name = name;
    for (std::size_t k : {0U, 1U}) start_coordinator(k);
    run_while([this] { return !coordinators[0].ready || !coordinators[1].ready; }, 30, "no sign of life");
    for (int p = 0; p < d.proxies; ++p)
      add_proxy(static_cast<std::size_t>(p) % d.zones.size(), static_cast<std::size_t>(p / 3) % 2,
                now() + uniform(0.1, 1));
    const double base = now();
    std::multimap<double, std::function<void()>> plan;
    for (std::size_t n = 0; n < 15; ++n) {
      const double at = base + kRollAt + kStep * static_cast<double>(n);
      plan.emplace(at, [this, n] {
        backends[n].health = "Terminating";
        tell({n, start_backend(backends[n].zone)});
      });
      plan.emplace(at + kDrainTime, [this, n] {
        backends[n].health = "Gone", backends[n].alive = false;
        tell({n});
      });
    }
    if (trouble) {
      plan.emplace(base + kRestartFirst, [this] { restart(0); });
      plan.emplace(base + kRestartSecond, [this] { restart(1); });
    }
    for (const auto& [at, step] : plan) {
      run_until(at);
      step();
    }
    run_until(now() + 6);
    note(format("%lld requests, %lld not served, %lld messages, %lld joins", requests, unserved, messages,
                joins));
    note(format("requests sent to a backend past the grace: %lld, by %zu proxies", late_,
                late_proxies_.size()));
    return late_ == 0 ? 0 : 1;
  }

 private:
  void restart(std::size_t number) {
    signal_coordinator(number, SIGTERM);
    start_again_[number] = 0;
  }
  void on_tick(double at) override {
    for (auto it = start_again_.begin(); it != start_again_.end();) {
      if (it->second == 0 && !running(it->first)) it->second = at + kBackAfter;
      const bool due = it->second > 0 && at >= it->second;
      if (due) start_coordinator(it->first);
      it = due ? start_again_.erase(it) : std::next(it);
    }
  }
  // The time runs from the joining or from what discovery told, and no earlier than 1 s after the first
  // answer.
  void on_request(Proxy& p, std::size_t cls, Backend& backend, double at) override {
    if (!p.joined || backend.health == "Ready") return;
    const Coordinator& c = coordinators[p.home];
    if (!c.expected_to_run) return;
    const auto& states = listed_at.at(static_cast<std::size_t>(&backend - backends.data()));
    const double told = states.at("Terminating");
    const double since = std::max({told, p.joined_at, c.ready_at + 1});
    if (at <= since + d.drain_grace_s + kSlack) return;
    ++late_;
    late_proxies_.insert(p.number);
    note(
        format("BROKEN: proxy %zu sends %s to %s, which is %s; told at %.3f, joined %s at %.3f, %.3f s past "
               "the grace",
               p.number, d.classes[cls].name.c_str(), backend.host.c_str(), backend.health.c_str(), told,
               c.name.c_str(), p.joined_at, at - since - d.drain_grace_s - kSlack));
  }

  std::map<std::size_t, double> start_again_;
  long long late_ = 0;
  std::set<std::size_t> late_proxies_;
};

}  // namespace

int main(int argc, char** argv) { return world::main_of<Roll>(argc, argv); }
