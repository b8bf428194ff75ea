// PolicyHost: joins, replaced streams, backend names, and the same tables as the simulator's adapter.
#include "streams/policy_host.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <sstream>

#include "simhost/host.hpp"

namespace gorsemount::streams {
namespace {

const char* const kSettings =
    R"({"discovery":"subscribe","family-info":{"backlog":4000,"intake-per-s":1000,"level-kind":"rate","messages-most":0,"per-message":4,"proxies":8,)"
    R"("push-rate":4000,"report-every-s":2,"update-window-s":10,"usual-how":1},)"
    R"("lanes":[{"effect":"read_like","goal-time-s":1,"worth":1,"name":"lookup"},{"effect":"non_idempotent","goal-time-s":1,"worth":3,"name":"order"}],)"
    R"("fleet-size":1,"limits":{"keepalive-s":15},"rules":{"ask-within-s":10,"cold-from":0.2,"cold-s":15,"drain-grace-s":2,"tip-multiple":4},"zones":["a","b","c"]})";

const Json& config() {
  static const Json value = Json::parse(kSettings);
  return value;
}

constexpr unsigned kBackends = 12;
std::string host_name(unsigned k) { return "s-" + std::to_string(k); }

discovery::BackendList list(std::uint64_t version = 1, bool full = true) {
  discovery::BackendList backend_list{version, full, {}};
  for (unsigned k = 1; k <= kBackends; ++k)
    backend_list.rows.push_back({host_name(k), std::string(1, static_cast<char>('a' + k % 3)),
                                 discovery::Health::ready, 1.0 + 0.1 * k, 0});
  return backend_list;
}

// Applies the updates written to each proxy and keeps the resulting tables.
struct FakeProxies {
  struct State {
    std::map<std::string, double> lines;
    std::map<std::string, std::string> levels;  // by operation
    bool operator==(const State&) const = default;
  };
  std::map<std::uint16_t, State> states;
  int messages = 0;

  void apply(std::uint16_t proxy, const std::string& bytes) {
    State& state = states[proxy];
    std::istringstream in{bytes};
    std::string line, word;
    std::size_t parts = 0, continued = 0;
    ++messages;
    while (std::getline(in, line)) {
      ASSERT_EQ(line.back(), '\r');
      line.pop_back();
      ++parts;
      std::istringstream words{line};
      words >> word;
      ASSERT_EQ(word, "update");
      std::vector<std::string> routes{"lookup", "order"};
      std::string admit, policy;
      while (words >> word) {
        const auto name = word.substr(0, word.find('=')), value = word.substr(word.find('=') + 1);
        if (name == "full") state = {};
        if (name == "continued") ++continued;
        if (name == "routes") routes = {value};
        if (name == "admit") admit = value;
        if (name == "policy") policy = value;
        if (name != "endpoints") continue;
        std::istringstream pairs{value};
        for (std::string pair; std::getline(pairs, pair, ',');) {
          const double weight = std::stod(pair.substr(pair.find(':') + 1));
          if (weight > 0)
            state.lines[pair.substr(0, pair.find(':'))] = weight;
          else
            state.lines.erase(pair.substr(0, pair.find(':')));
        }
      }
      if (!admit.empty())
        for (const auto& route : routes) state.levels[route] = admit + "/" + policy;
    }
    EXPECT_EQ(continued + 1, parts);
  }
};

struct Fixture {
  Fixture(int, PolicyHost::ReportBatching batching)
      : host{read_settings(Fields{config(), "settings"}), read_id_names(Fields{config(), "settings"}), 5,
             Instant{}, batching} {}
  explicit Fixture(PolicyHost::ReportBatching batching = {Span{}, Span{}}) : Fixture{0, batching} {}
  PolicyHost host;
  Instant now;
  FakeProxies proxies;
  std::map<StreamId, std::uint16_t> streams;
  int subscriptions = 0;
  void join(StreamId stream, std::uint16_t proxy) {
    const auto join = host.join(stream, {proxy, std::string(1, static_cast<char>('a' + proxy % 3)), 5, true});
    ASSERT_EQ(join.refusal, nullptr);
    streams[stream] = proxy;
  }
  void step(double at) {
    now = Instant::at_seconds(at);
    const auto effects = host.step(now);
    subscriptions += effects.subscribe ? 1 : 0;
    for (const auto& send : effects.sends) proxies.apply(streams.at(send.stream), send.message->bytes);
  }
};

TEST(PolicyHost, JoinedProxyReceivesKnownBackendsAndDiscoveryIsSubscribed) {
  Fixture fixture;
  fixture.host.handle_list(list(), true);
  fixture.step(1);
  EXPECT_EQ(fixture.subscriptions, 1);
  for (std::uint16_t proxy = 0; proxy < 8; ++proxy) fixture.join(proxy + 1U, proxy);
  fixture.step(1.1);
  ASSERT_EQ(fixture.proxies.states.size(), 8U);
  EXPECT_FALSE(fixture.proxies.states.at(0).lines.empty());
  EXPECT_EQ(fixture.proxies.states.at(0).levels.size(), 2U);
  EXPECT_EQ(fixture.proxies.messages, 8);  // one update each
}

// The state line tells of a zone whose proxies have no line of their zone, if an operation is bound to it.
TEST(PolicyHost, ZonesWithoutALineAreReportedIfAnOperationIsBoundToTheZone) {
  for (const bool zone_bound : {true, false}) {
    Json changed = config();
    changed["family-info"]["zone-bound"] = {zone_bound, false};
    const Fields settings{changed, "settings"};
    PolicyHost host{read_settings(settings), read_id_names(settings), 5, Instant{}, {Span{}, Span{}}};
    auto backends = list();
    std::erase_if(backends.rows, [](const auto& row) { return row.zone == "b"; });
    host.handle_list(backends, true);
    for (std::uint16_t proxy = 0; proxy < 8; ++proxy) {
      const std::string zone(1, static_cast<char>('a' + proxy % 3));
      ASSERT_EQ(host.join(proxy + 1U, {proxy, zone, 5, true}).refusal, nullptr);
    }
    (void)host.step(Instant::at_seconds(1));
    EXPECT_EQ(host.take_stats().without_zone_line, zone_bound ? "b:3" : "");
    host.leave(2);  // proxy 1, of zone b
    EXPECT_EQ(host.take_stats().without_zone_line, zone_bound ? "b:2" : "");
  }
}

// An operation that is bound to the proxy's zone has a table of its own in the same message.
TEST(PolicyHost, ABoundOperationGetsATableOfTheProxysZone) {
  Json changed = config();
  changed["family-info"]["zone-bound"] = {true, false};
  const Fields settings{changed, "settings"};
  PolicyHost host{read_settings(settings), read_id_names(settings), 5, Instant{}, {Span{}, Span{}}};
  host.handle_list(list(), true);
  for (std::uint16_t proxy = 0; proxy < 8; ++proxy) {
    const std::string zone(1, static_cast<char>('a' + proxy % 3));
    ASSERT_EQ(host.join(proxy, {proxy, zone, 5, true}).refusal, nullptr);
  }
  const auto effects = host.step(Instant::at_seconds(1));
  ASSERT_EQ(effects.sends.size(), 8U);
  for (const auto& send : effects.sends) {
    const std::string& bytes = send.message->bytes;
    EXPECT_EQ(bytes.find("update routes=order full=1 endpoints="), 0U) << bytes;
    EXPECT_NE(bytes.find(" continued=1\r\nupdate routes=lookup full=1 endpoints="), std::string::npos)
        << bytes;
    const std::string bound = bytes.substr(bytes.find("routes=lookup"));
    for (unsigned k = 1; k <= kBackends; ++k)
      EXPECT_EQ(bound.find(host_name(k) + ":") != std::string::npos, k % 3 == send.stream % 3)
          << host_name(k) << " for proxy " << send.stream << ": " << bytes;
  }
}

TEST(PolicyHost, SecondJoinBeforeTheOldCloseIsALeaveThenAJoin) {
  Fixture fixture;
  fixture.host.handle_list(list(), true);
  for (std::uint16_t proxy = 0; proxy < 8; ++proxy) fixture.join(proxy + 1U, proxy);
  fixture.step(1);
  fixture.proxies.states.clear();
  const auto join = fixture.host.join(100, {3, "a", 5, false});
  EXPECT_EQ(join.replaced_stream, StreamId{4});
  fixture.streams[100] = 3;
  fixture.step(1.1);
  EXPECT_FALSE(fixture.proxies.states.at(3).lines.empty());  // the new stream gets a full table
  fixture.proxies.states.clear();
  fixture.host.leave(4);  // the late close of the old stream changes nothing
  EXPECT_FALSE(fixture.host.has_pending());
  fixture.host.leave(100);
  EXPECT_TRUE(fixture.host.has_pending());
}

TEST(PolicyHost, ReportsOfOneRoundAreBatchedAndJoinsAreNotDelayed) {
  Fixture fixture{PolicyHost::ReportBatching{Span::seconds(0.005), Span::seconds(0.04)}};
  fixture.host.handle_list(list(), true);
  fixture.step(1);
  const auto line = [&](double at) {
    EXPECT_EQ(
        fixture.host.handle_report(Instant::at_seconds(at), {},
                                   BackendStats{"a", "s-1", 9, 0, Span::seconds(0.2), Span::seconds(2), 0.5}),
        nullptr);
  };
  line(1.1), line(1.104);
  EXPECT_EQ(fixture.host.next_wake(), Instant::at_seconds(1.109));
  fixture.join(1, 0);
  fixture.step(1.105);  // the join is handled, the reports are still held
  EXPECT_TRUE(fixture.host.has_pending());
  fixture.step(1.109);
  EXPECT_FALSE(fixture.host.has_pending());
  for (int k = 0; k < 20; ++k) line(1.2 + 0.004 * k);  // no gap as long as the quiet period
  EXPECT_EQ(fixture.host.next_wake(), Instant::at_seconds(1.24));
}

TEST(PolicyHost, JoinsOfUnknownProxiesOrZonesAreRefused) {
  Fixture fixture;
  EXPECT_STREQ(fixture.host.join(1, {8, "a", 1, true}).refusal, "no such proxy");
  EXPECT_STREQ(fixture.host.join(1, {7, "z", 1, true}).refusal, "no such zone");
  EXPECT_EQ(fixture.host.join(1, {7, "a", 1, true}).refusal, nullptr);
}

TEST(PolicyHost, InvalidReportsAreSkipped) {
  Fixture fixture;
  fixture.host.handle_list(list(), true);
  fixture.join(1, 0);
  fixture.step(1);
  EXPECT_STREQ(
      fixture.host.handle_report(fixture.now, {}, BackendStats{"a", "s-99", 1, 0, {}, Span::seconds(2), {}}),
      "no such backend");
  EXPECT_STREQ(
      fixture.host.handle_report(fixture.now, {}, BackendStats{"z", "s-1", 1, 0, {}, Span::seconds(2), {}}),
      "no such zone");
  EXPECT_STREQ(
      fixture.host.handle_report(fixture.now, 1, BackendStats{"a", "s-1", 1, 0, {}, Span::seconds(2), {}}),
      "accepted from collectors only");
  EXPECT_STREQ(fixture.host.handle_report(fixture.now, 1, ProxyUsage{0, "tea", 1, Span::seconds(2)}),
               "no such operation");
  EXPECT_STREQ(fixture.host.handle_report(fixture.now, 1, ProxyUsage{1, "order", 1, Span::seconds(2)}),
               "about another proxy");
  EXPECT_STREQ(fixture.host.handle_report(fixture.now, {}, ProxyUsage{1, "order", 1, Span::seconds(2)}),
               "about a proxy that has not joined");
  EXPECT_FALSE(fixture.host.has_pending());
  EXPECT_EQ(fixture.host.handle_report(fixture.now, 1, ProxyUsage{0, "order", 1, Span::seconds(2)}), nullptr);
  EXPECT_EQ(fixture.host.handle_report(fixture.now, {}, ProxyUsage{0, "order", 1, Span::seconds(2)}),
            nullptr);
  EXPECT_EQ(
      fixture.host.handle_report(fixture.now, {}, BackendStats{"a", "s-1", 1, 0, {}, Span::seconds(2), {}}),
      nullptr);
  EXPECT_EQ(fixture.host.handle_report(fixture.now, 1, UpdateApplied{0, 3}), nullptr);
  EXPECT_TRUE(fixture.host.has_pending());
}

TEST(PolicyHost, RowsOfUnknownZonesAreSkippedAndCounted) {
  Fixture fixture;
  auto backend_list = list();
  backend_list.rows[2].zone = "nowhere";
  EXPECT_EQ(fixture.host.handle_list(backend_list), 1U);
  EXPECT_EQ(fixture.host.take_stats().known_backends, kBackends - 1);
}

TEST(PolicyHost, UnlistedBackendsAreForgotten) {
  Fixture fixture;
  for (std::uint16_t proxy = 0; proxy < 8; ++proxy) fixture.join(proxy + 1U, proxy);
  std::size_t max_known = 0;
  for (unsigned k = 0; k < 500; ++k) {  // each list holds new backends only
    auto backend_list = list(k + 1);
    for (auto& row : backend_list.rows) row.host += "-" + std::to_string(k);
    fixture.host.handle_list(backend_list);
    fixture.step(k * 5.0);
    max_known = std::max(max_known, fixture.host.take_stats().known_backends);
  }
  EXPECT_LE(max_known, 10 * kBackends);
}

// If removal from the list is not binding, the module keeps using a backend that responds. It may give it a
// weight again long after the backend left all tables, for example when a zone drain had set it to zero.
TEST(PolicyHost, UnlistedBackendsAreKeptIfRemovalIsNotBinding) {
  Json not_binding = config();
  not_binding["rules"]["removal-not-binding"] = true;
  PolicyHost host{read_settings(Fields{not_binding, "settings"}),
                  read_id_names(Fields{not_binding, "settings"}), 5, Instant{}};
  (void)host.handle_list(list(), true);
  (void)host.step(Instant::at_seconds(1));
  discovery::BackendList removal{2, false, {{host_name(4), "", discovery::Health::gone, 1, 0}}};
  (void)host.handle_list(removal);
  (void)host.step(Instant::at_seconds(2));
  for (std::uint64_t k = 3; k < 7; ++k) {  // later lists change other backends
    (void)host.handle_list(
        discovery::BackendList{k, false, {{host_name(5), "c", discovery::Health::ready, 1, 0}}});
    (void)host.step(Instant::at_seconds(40.0 * static_cast<double>(k)));
  }
  EXPECT_EQ(host.handle_report(Instant::at_seconds(300), {},
                               BackendStats{"a", "s-4", 1, 0, {}, Span::seconds(2), {}}),
            nullptr);
  EXPECT_EQ(host.take_stats().known_backends, kBackends);
}

// Reports are held while joins, leaves and lists are not, so a report can reach the module after its proxy
// has left or its backend was forgotten. Updates must name only listed backends and go only to joined
// streams.
TEST(PolicyHost, RandomEventOrdersNameOnlyListedBackends) {
  for (const bool removal_binds : {true, false}) {
    for (unsigned seed = 1; seed <= 12; ++seed) {
      Json settings = config();
      if (!removal_binds) settings["rules"]["removal-not-binding"] = true;
      PolicyHost host{read_settings(Fields{settings, "settings"}),
                      read_id_names(Fields{settings, "settings"}), seed, Instant{}};
      std::mt19937 rng{seed};
      const auto below = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
      std::set<std::string> listed;
      std::map<StreamId, std::uint16_t> proxy_by_stream;
      StreamId last_stream = 0;
      std::uint64_t version = 0;
      unsigned created = 0;
      double at = 1;
      std::size_t sends = 0;
      for (int turn = 0; turn < 3000; ++turn) {
        at += 0.002 * below(20) + (below(100) == 0 ? 31 : 0);  // longer than unlisted backends are kept
        const Instant now = Instant::at_seconds(at);
        for (unsigned k = below(4); k > 0; --k) {
          const auto proxy = static_cast<std::uint16_t>(below(8));
          const std::string zone(1, static_cast<char>('a' + below(3)));
          const std::string backend =
              "h-" +
              std::to_string(below(2) == 0 ? below(created + 1) : created - std::min(created, below(6)));
          switch (below(6)) {
            case 0: {  // new, draining, removed and relisted backends, sometimes a full list
              discovery::BackendList backend_list{++version, below(12) == 0, {}};
              for (unsigned n = 1 + below(4); n > 0; --n) {
                const auto health = static_cast<discovery::Health>(below(3));
                const std::string name = below(3) == 0 ? "h-" + std::to_string(++created) : backend;
                if (health != discovery::Health::gone) listed.insert(name);
                backend_list.rows.push_back(
                    {name, zone, health, 1, below(2) == 0 ? 0 : static_cast<std::int64_t>(1000 * at)});
              }
              (void)host.handle_list(backend_list);
              break;
            }
            case 1: {
              const auto join = host.join(++last_stream, {proxy, zone, 5, true});
              if (join.replaced_stream)
                proxy_by_stream.erase(*join.replaced_stream),
                    host.leave(*join.replaced_stream);  // the late close of the replaced stream
              proxy_by_stream[last_stream] = proxy;
              break;
            }
            case 2:
              if (!proxy_by_stream.empty())
                host.leave(proxy_by_stream.begin()->first), proxy_by_stream.erase(proxy_by_stream.begin());
              break;
            case 3:
              (void)host.handle_report(now, {},
                                       BackendStats{zone, backend, 9, static_cast<int>(below(10)),
                                                    Span::seconds(0.2), Span::seconds(2), 0.9});
              break;
            default:
              if (!proxy_by_stream.empty())
                (void)host.handle_report(
                    now, proxy_by_stream.begin()->first,
                    ProxyUsage{proxy_by_stream.begin()->second, "order", 9, Span::seconds(2)});
          }
        }
        for (const auto& [stream, proxy] : proxy_by_stream) ASSERT_TRUE(host.is_joined(proxy));
        if (below(3) == 0) continue;  // more input in the same batch
        for (const auto& send : host.step(now).sends) {
          ++sends;
          ASSERT_TRUE(proxy_by_stream.contains(send.stream));
          const auto& bytes = send.message->bytes;
          for (auto place = bytes.find("h-"); place != std::string::npos; place = bytes.find("h-", place + 1))
            ASSERT_TRUE(listed.contains(bytes.substr(place, bytes.find(':', place) - place)));
        }
        if (turn % 50 == 0) (void)host.take_stats();
      }
      EXPECT_GT(sends, 100U);
    }
  }
}

// The same events through the simulator's adapter and through PolicyHost leave the same tables at the
// proxies.
TEST(PolicyHost, SendsTheSameTablesAsTheAdapter) {
  Fixture fixture;
  simhost::Host adapter_host;
  std::map<int, std::map<std::uint64_t, double>> tables;
  std::map<int, std::map<int, std::string>> levels;
  std::map<int, int> bound;
  std::multimap<double, std::uint64_t> alarms;
  double now = 0;
  const auto adapter = [&](const Json& items) {
    const Json reply =
        Json::parse(adapter_host.process_batch(Json{{"sim-time-s", now}, {"items", items}}.dump()));
    for (const auto& order : reply["output"]) {
      if (order["t"] == "set-weight") {
        if (order["w"] > 0)
          tables[order["sheet"]][order["backend"]] = order["w"];
        else
          tables[order["sheet"]].erase(order["backend"].get<std::uint64_t>());
      }
      if (order["t"] == "subscribe-to") bound[order["client-lb"]] = order["sheet"];
      if (order["t"] == "throttle")
        levels[order["sheet"]][order["mask"]] =
            std::to_string(order["quota"].get<double>()) + "/" + std::to_string(order["how"].get<int>());
      if (order["t"] == "remind") alarms.emplace(now + order["from-now-s"].get<double>(), order["tag"]);
    }
  };
  const auto rows = [](const discovery::BackendList& backend_list) {
    Json members = Json::array();
    for (const auto& row : backend_list.rows)
      members.push_back(
          {{"backend", std::stoi(row.host.substr(2))},
           {"site", row.zone[0] - 'a'},
           {"type", 0},
           {"pod", 0},
           {"availability", row.health == discovery::Health::ready      ? "ready"
                            : row.health == discovery::Health::draining ? "draining"
                                                                        : "gone"},
           {"w", row.weight},
           {"boot-time-s", row.started_ms == 0 ? Json{} : Json(static_cast<double>(row.started_ms) / 1000)}});
    return Json{{"t", "snapshot-rows"}, {"bank", 0}, {"members-list", members}};
  };
  const auto registry = [](const char* scope) {
    return Json{{"t", "registry"}, {"i", 0}, {"scope", scope}, {"version", 1}, {"bank", 0}};
  };

  Json items = Json::array({Json{{"t", "provision"}, {"i", 0}, {"rng-seed", 5}, {"config", config()}},
                            rows(list()), registry("cached")});
  fixture.host.handle_list(list(), true);
  for (std::uint16_t proxy = 0; proxy < 8; ++proxy) {
    fixture.join(proxy + 1U, proxy);
    items.push_back(
        {{"t", "checked-in"}, {"i", 0}, {"client-lb", proxy}, {"site", proxy % 3}, {"w", 5.0}, {"on", true}});
  }
  adapter(items);
  fixture.step(now);

  std::mt19937 rng{3};
  bool was_removed = false;
  for (int round = 1; round <= 120; ++round) {
    now = 0.25 * round;
    items = Json::array();
    for (auto it = alarms.begin(); it != alarms.end() && it->first <= now + 1e-9; it = alarms.erase(it))
      items.push_back({{"t", "alarm"}, {"i", 0}, {"tag", it->second}});
    if (round % 8 == 0)
      for (unsigned k = 1; k <= kBackends; ++k)
        for (int zone = 0; zone < 3; ++zone) {  // backend 4 fails after 10 s
          const int errored = k == 4 && now > 10 ? 9 : static_cast<int>(rng() % 2);
          items.push_back({{"t", "digest"},
                           {"i", 0},
                           {"site", zone},
                           {"backend", k},
                           {"many", 10},
                           {"lost", errored},
                           {"cost-time-s", 0.25},
                           {"elapsed-s", 2.0},
                           {"load", {{"cpu", 0.5}}}});
          EXPECT_EQ(fixture.host.handle_report(
                        fixture.now, {},
                        BackendStats{std::string(1, static_cast<char>('a' + zone)), host_name(k), 10, errored,
                                     Span::seconds(0.25), Span::seconds(2), 0.5}),
                    nullptr);
        }
    if (round == 30 || round == 44) {  // a drain, then a restart of the same backend
      discovery::BackendList change{
          2,
          false,
          {{host_name(7), "b", round == 30 ? discovery::Health::draining : discovery::Health::ready, 1,
            round == 30 ? 0 : 11'000}}};
      items.push_back(rows(change)), items.push_back(registry("delta"));
      fixture.host.handle_list(change);
    }
    if (round == 50) {
      items.push_back({{"t", "disconnected"}, {"i", 0}, {"client-lb", 2}});
      items.push_back(
          {{"t", "checked-in"}, {"i", 0}, {"client-lb", 2}, {"site", 2}, {"w", 5.0}, {"on", false}});
      fixture.host.leave(3);
      fixture.join(200, 2);
    }
    adapter(items);
    fixture.step(now);
    was_removed = was_removed || !fixture.proxies.states.at(0).lines.contains(host_name(4));
    for (const auto& [proxy, table] : bound) {
      std::map<std::string, double> lines;
      for (const auto& [backend, weight] : tables[table])
        lines[host_name(static_cast<unsigned>(backend))] = weight;
      const auto& state = fixture.proxies.states.at(static_cast<std::uint16_t>(proxy));
      ASSERT_EQ(state.lines.size(), lines.size()) << "at " << now;
      for (const auto& [name, weight] : lines)
        ASSERT_NEAR(state.lines.at(name), weight, 1e-6) << name << " at " << now;
      ASSERT_EQ(state.levels.size(), levels[table].size());
    }
  }
  EXPECT_TRUE(was_removed);  // the failing backend was removed from the table
  EXPECT_GT(fixture.proxies.messages, 24);
}

}  // namespace
}  // namespace gorsemount::streams
