#include "standins/play.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "standins/client.hpp"
#include "standins/forwarder.hpp"
#include "standins/worker.hpp"

namespace gorsemount::standins {

namespace {

class ScenarioRunner {
 public:
  ScenarioRunner(const Day& day, const PlayOptions& options)
      : day_{day},
        options_{options},
        recorder_{options.folder + "/fleet.records"},
        roster_{roster_of(day, options.addresses)} {}

  void run() {
    write_roster();
    make_workers();
    make_forwarders();
    for (std::size_t k = 0; k < day_.coordinators.size(); ++k)
      servers_.push_back(options_.addresses.coordinator(k + 1));
    // Clients start after the coordinators have had time to bind.
    loop_.at(options_.start, [this] { make_clients(); });
    for (const auto& p : day_.phases)
      loop_.at(options_.start + p.at, [this, &p] {
        recorder_.write(loop_.now(), "phase", {{"name", p.name}, {"rate", p.rate}});
        phase_ = p.name;
        for (auto& c : clients_) c->set_rate_factor(p.rate);
      });
    if (day_.churn > Span{}) loop_.at(options_.start, [this] { change_weights(); });
    for (int k = 0; k < day_.cuts.count; ++k)
      loop_.at(options_.start + day_.cuts.first + day_.cuts.every * k, [this] { cut_commands(); });
    for (const auto& t : day_.troubles) loop_.at(options_.start + t.at, [this, &t] { inject(t); });
    loop_.at(options_.start + day_.length - day_.settle, [this] {
      for (auto& c : clients_) c->set_rate_factor(0);
    });
    loop_.at(options_.start + day_.length, [this] { loop_.stop(); });
    if (options_.show) loop_.at(options_.start + Span::seconds(1), [this] { print_weights(); });
    loop_.run();
  }

 private:
  void write_roster() const {
    if (roster_stale_) return;
    const std::string file = options_.folder + "/roster.hcl";
    std::ofstream{file + ".new"} << roster_text(roster_);
    std::filesystem::rename(file + ".new", file);
  }

  void make_workers() {
    std::map<std::string, std::size_t> numbers;
    for (const auto& w : day_.workers) {
      const auto zone = static_cast<std::size_t>(std::find(day_.zones.begin(), day_.zones.end(), w.zone) -
                                                 day_.zones.begin());
      for (int k = 0; k < w.count; ++k) {
        const std::size_t n = ++numbers[w.zone];
        WorkerSettings s{worker_name(day_, zone, n),
                         w.zone,
                         options_.addresses.worker(zone, n),
                         w.cores,
                         w.speed,
                         w.queue_most,
                         day_.operations,
                         day_.drain_grace,
                         day_.cold_for,
                         day_.tip_after,
                         day_.cold_from,
                         day_.tip_multiple};
        workers_.push_back(std::make_unique<Worker>(loop_, recorder_, std::move(s),
                                                    day_.seed * 1000 + workers_.size(), false));
      }
    }
  }

  void make_clients() {
    std::map<std::string, std::size_t> numbers;
    for (const auto& c : day_.clients) {
      const auto zone = static_cast<std::size_t>(std::find(day_.zones.begin(), day_.zones.end(), c.zone) -
                                                 day_.zones.begin());
      for (int k = 0; k < c.count; ++k) {
        const std::size_t n = ++numbers[c.zone];
        ClientSettings s{fmt::format("{}-clinic-{}", c.zone, n),
                         c.zone,
                         day_.origin,
                         options_.addresses.client(zone, n),
                         servers_,
                         day_.operations,
                         c.rate,
                         k < c.by_address * c.count,
                         {},
                         k >= c.disobedient,
                         day_.unsafe.repeat_all};
        // Spreads the clients' first choice evenly over the coordinators.
        std::rotate(s.servers.begin(), s.servers.begin() + static_cast<std::ptrdiff_t>(n % servers_.size()),
                    s.servers.end());
        clients_.push_back(
            std::make_unique<Client>(loop_, recorder_, std::move(s), day_.seed * 100000 + clients_.size()));
      }
    }
    make_forwarder_clients(numbers);
  }

  void make_forwarders() {
    for (const auto& place : forwarders_of(day_, options_.addresses)) {
      ForwarderSettings s{place.name,      place.zone, {place.at, 8000},      {place.at, 9999},
                          day_.operations, {},         place.kind.two_choice, !day_.unsafe.no_fence};
      // Its initial configuration lists up to four workers of its zone.
      for (const auto& line : roster_)
        if (line.zone == place.zone && s.initial_servers.size() < 4) s.initial_servers.push_back(line);
      forwarders_.push_back(
          std::make_unique<Forwarder>(loop_, recorder_, std::move(s), day_.seed * 7000 + forwarders_.size()));
    }
  }

  // Clients of forwarders: each calls one forwarder of its zone, assigned round-robin.
  void make_forwarder_clients(std::map<std::string, std::size_t>& numbers) {
    for (const auto& kind : day_.forwarders) {
      const auto zone = static_cast<std::size_t>(std::find(day_.zones.begin(), day_.zones.end(), kind.zone) -
                                                 day_.zones.begin());
      std::vector<Endpoint> forwarder_endpoints;
      for (const auto& f : forwarders_)
        if (f->settings().zone == kind.zone) forwarder_endpoints.push_back(f->settings().listen);
      for (int k = 0; k < kind.clients; ++k) {
        const std::size_t n = ++numbers[kind.zone];
        ClientSettings s{fmt::format("{}-caller-{}", kind.zone, n),
                         kind.zone,
                         day_.origin,
                         options_.addresses.client(zone, n),
                         servers_,
                         day_.operations,
                         kind.rate,
                         false,
                         forwarder_endpoints[static_cast<std::size_t>(k) % forwarder_endpoints.size()],
                         true,
                         day_.unsafe.repeat_all};
        clients_.push_back(
            std::make_unique<Client>(loop_, recorder_, std::move(s), day_.seed * 100000 + clients_.size()));
      }
    }
  }

  void inject_forwarder_fault(const InjectedFault& t) {
    std::vector<Forwarder*> in_zone, affected;
    for (auto& f : forwarders_)
      if (t.zone.empty() || f->settings().zone == t.zone) in_zone.push_back(f.get());
    const auto n = t.count > 0
                       ? static_cast<std::size_t>(t.count)
                       : static_cast<std::size_t>(std::lround(t.part * static_cast<double>(in_zone.size())));
    for (auto* f : in_zone)
      if (affected.size() < n) affected.push_back(f);
    for (auto* f : affected) {
      recorder_.write(loop_.now(), "trouble", {{"name", t.name}, {"forwarder", f->settings().name}});
      if (t.kind == InjectedFaultKind::forwarder_restart) {
        f->restart();
      } else if (t.kind == InjectedFaultKind::streams) {
        f->break_streams();
      } else {
        f->inject_fault(t.kind);
      }
    }
    loop_.after(t.lasts, [affected] {
      for (auto* f : affected) f->inject_fault(std::nullopt);
    });
  }

  void inject(const InjectedFault& t) {
    if (t.kind >= InjectedFaultKind::forwarder_restart && t.kind <= InjectedFaultKind::streams)
      return inject_forwarder_fault(t);
    if (t.kind == InjectedFaultKind::stale_list) {
      roster_stale_ = true;
      loop_.after(t.lasts, [this] {
        roster_stale_ = false;
        write_roster();
      });
      return;
    }
    // Links between loopback addresses can't be cut or slowed; only the simulator does this.
    if (t.kind == InjectedFaultKind::cut_link || t.kind == InjectedFaultKind::slow_link)
      return recorder_.write(loop_.now(), "not_played", {{"name", t.name}});
    std::vector<Worker*> in_zone, affected;
    for (auto& w : workers_)
      if (t.zone.empty() || w->settings().zone == t.zone) in_zone.push_back(w.get());
    const auto n = t.count > 0
                       ? static_cast<std::size_t>(t.count)
                       : static_cast<std::size_t>(std::lround(t.part * static_cast<double>(in_zone.size())));
    for (auto* w : in_zone)
      if (affected.size() < n && w->healthy()) affected.push_back(w);
    for (auto* w : affected) {
      recorder_.write(loop_.now(), "trouble", {{"name", t.name}, {"worker", w->settings().name}});
      if (t.kind == InjectedFaultKind::crash) {
        w->crash();
      } else if (t.kind != InjectedFaultKind::drain || !day_.unsafe.drain_untold) {
        w->inject_fault(t.kind, t.kind == InjectedFaultKind::errors ? t.part : t.size);
      }
      if (t.kind == InjectedFaultKind::drain) set_draining(*w, true);
    }
    loop_.after(t.lasts, [this, &t, affected] {
      for (auto* w : affected) {
        recorder_.write(loop_.now(), "over", {{"name", t.name}, {"worker", w->settings().name}});
        if (t.kind == InjectedFaultKind::drain) set_draining(*w, false);
        if (t.kind == InjectedFaultKind::crash) {
          w->start();
        } else {
          w->recover();
        }
      }
    });
  }

  // Changes the roster's weights, so that coordinators always have changes to send.
  void change_weights() {
    if (loop_.now() > options_.start + day_.length - day_.settle) return;
    const auto usual = roster_of(day_, options_.addresses);
    for (std::size_t k = 0; k < roster_.size(); ++k)
      roster_[k].weight = usual[k].weight * std::uniform_real_distribution<>{0.6, 1.0}(random_);
    write_roster();
    loop_.after(day_.churn, [this] { change_weights(); });
  }

  // Cuts the commands to a random forwarder at a random byte, both determined by the seed. The sender's name
  // goes to a file from which the scenario's runner reads whom to kill or suspend.
  void cut_commands() {
    Forwarder* f = forwarders_[random_() % forwarders_.size()].get();
    const std::size_t bytes = random_() % static_cast<unsigned>(day_.cuts.bytes_most + 1);
    f->cut_after(bytes, [this, f, bytes](const std::string& leader) {
      recorder_.write(loop_.now(), "cut",
                      {{"forwarder", f->settings().name}, {"leader", leader}, {"bytes", bytes}});
      std::ofstream{options_.folder + "/strikes", std::ios::app} << leader << "\n";
      // Commands in flight are lost when the sender is killed; when it is suspended, they arrive shortly
      // before it resumes.
      if (day_.cuts.pause) {
        loop_.after(day_.cuts.lasts * 0.9, [f] { f->resume_commands(); });
      } else {
        loop_.after(Span::seconds(0.02), [f] { f->drop_pending_commands(); });
      }
    });
  }

  void set_draining(Worker& worker, bool on) {
    for (auto& line : roster_)
      if (line.name == worker.settings().name) line.draining = on && !day_.unsafe.drain_untold;
    recorder_.write(loop_.now(), on ? "told_draining" : "told_ready", {{"worker", worker.settings().name}});
    write_roster();
  }

  // Prints the weights by zone that a client of the first zone resolves.
  void print_weights() {
    if (!resolver_)
      resolver_ = std::make_unique<Resolver>(loop_, options_.addresses.client(0, 251), servers_,
                                             Span::seconds(0.3), 9000);
    if (!resolver_->busy())
      resolver_->query(
          "_" + day_.operations.back().name + "._tcp." + day_.origin, true, [this](const Answer& answer) {
            std::map<std::string, double> weights;
            double total = 0;
            for (const auto& t : answer.targets)
              for (const auto& line : roster_)
                if (line.at == t.at) weights[line.zone] += t.weight, total += t.weight;
            std::string text =
                fmt::format("{:5.1f} s  {:<12}", (loop_.now() - options_.start).seconds(), phase_);
            for (const auto& zone : day_.zones)
              text += fmt::format("  {} {:5.1f}%", zone, total > 0 ? 100 * weights[zone] / total : 0);
            const auto up =
                std::count_if(workers_.begin(), workers_.end(), [](const auto& w) { return w->healthy(); });
            std::printf("%s  lines %2zu  workers healthy %2td of %zu\n", text.c_str(), answer.targets.size(),
                        up, workers_.size());
            std::fflush(stdout);
          });
    loop_.after(Span::seconds(1), [this] { print_weights(); });
  }

  const Day& day_;
  const PlayOptions& options_;
  net::Loop loop_;
  Recorder recorder_;
  std::vector<RosterLine> roster_;
  std::vector<Endpoint> servers_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::unique_ptr<Resolver> resolver_;
  std::string phase_;
  bool roster_stale_ = false;
  std::mt19937 random_{static_cast<std::uint32_t>(day_.seed)};
};

}  // namespace

void play(const Day& day, const PlayOptions& options) { ScenarioRunner{day, options}.run(); }

}  // namespace gorsemount::standins
