// A coordinator without sockets: joins, successors, names, and the same tables as the bench's adapter orders.
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

discovery::BackendList list(std::uint64_t version = 1, bool whole = true) {
  discovery::BackendList l{version, whole, {}};
  for (unsigned k = 1; k <= kBackends; ++k)
    l.rows.push_back({host_name(k), std::string(1, static_cast<char>('a' + k % 3)), discovery::Health::ready,
                      1.0 + 0.1 * k, 0});
  return l;
}

// What the proxies hold, by what was written to them.
struct Proxies {
  struct Held {
    std::map<std::string, double> lines;
    std::map<std::string, std::string> levels;  // by operation
    bool operator==(const Held&) const = default;
  };
  std::map<std::uint16_t, Held> held;
  int messages = 0;

  void apply(std::uint16_t proxy, const std::string& bytes) {
    Held& h = held[proxy];
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
        if (name == "full") h = {};
        if (name == "continued") ++continued;
        if (name == "routes") routes = {value};
        if (name == "admit") admit = value;
        if (name == "policy") policy = value;
        if (name != "endpoints") continue;
        std::istringstream pairs{value};
        for (std::string pair; std::getline(pairs, pair, ',');) {
          const double weight = std::stod(pair.substr(pair.find(':') + 1));
          if (weight > 0)
            h.lines[pair.substr(0, pair.find(':'))] = weight;
          else
            h.lines.erase(pair.substr(0, pair.find(':')));
        }
      }
      if (!admit.empty())
        for (const auto& route : routes) h.levels[route] = admit + "/" + policy;
    }
    EXPECT_EQ(continued + 1, parts);
  }
};

struct Rig {
  Rig(int, PolicyHost::Gather gather)
      : instance{read_settings(Fields{config(), "settings"}), read_id_names(Fields{config(), "settings"}), 5,
                 Instant{}, gather} {}
  explicit Rig(PolicyHost::Gather gather = {Span{}, Span{}}) : Rig{0, gather} {}
  PolicyHost instance;
  Instant now;
  Proxies proxies;
  std::map<StreamId, std::uint16_t> streams;
  int follows = 0;
  void join(StreamId stream, std::uint16_t proxy) {
    const auto join =
        instance.join(stream, {proxy, std::string(1, static_cast<char>('a' + proxy % 3)), 5, true});
    ASSERT_EQ(join.refused, nullptr);
    streams[stream] = proxy;
  }
  void step(double at) {
    now = Instant::at_seconds(at);
    const auto effects = instance.step(now);
    follows += effects.subscribe ? 1 : 0;
    for (const auto& send : effects.sends) proxies.apply(streams.at(send.stream), send.message->bytes);
  }
};

TEST(PolicyHost, KnownBackendsReachAProxyThatJoinsAndDiscoveryIsAsked) {
  Rig r;
  r.instance.handle_list(list(), true);
  r.step(1);
  EXPECT_EQ(r.follows, 1);
  for (std::uint16_t p = 0; p < 8; ++p) r.join(p + 1U, p);
  r.step(1.1);
  ASSERT_EQ(r.proxies.held.size(), 8U);
  EXPECT_FALSE(r.proxies.held.at(0).lines.empty());
  EXPECT_EQ(r.proxies.held.at(0).levels.size(), 2U);
  EXPECT_EQ(r.proxies.messages, 8);  // one each, whatever it holds
}

TEST(PolicyHost, ASuccessorBeforeTheOldEndIsLeftThenJoined) {
  Rig r;
  r.instance.handle_list(list(), true);
  for (std::uint16_t p = 0; p < 8; ++p) r.join(p + 1U, p);
  r.step(1);
  r.proxies.held.clear();
  const auto join = r.instance.join(100, {3, "a", 5, false});
  EXPECT_EQ(join.succeeds, StreamId{4});
  r.streams[100] = 3;
  r.step(1.1);
  EXPECT_FALSE(r.proxies.held.at(3).lines.empty());  // the new stream gets a whole table
  r.proxies.held.clear();
  r.instance.leave(4);  // the old end is seen at last, and removes nothing
  EXPECT_FALSE(r.instance.pending());
  r.instance.leave(100);
  EXPECT_TRUE(r.instance.pending());
}

TEST(PolicyHost, LinesOfOneRoundWaitForEachOtherAndNothingElseWaits) {
  Rig r{PolicyHost::Gather{Span::seconds(0.005), Span::seconds(0.04)}};
  r.instance.handle_list(list(), true);
  r.step(1);
  const auto line = [&](double at) {
    EXPECT_EQ(r.instance.handle_report(Instant::at_seconds(at), {},
                                       Heard{"a", "s-1", 9, 0, Span::seconds(0.2), Span::seconds(2), 0.5}),
              nullptr);
  };
  line(1.1), line(1.104);
  EXPECT_EQ(r.instance.next_wake(), Instant::at_seconds(1.109));
  r.join(1, 0);
  r.step(1.105);  // the join goes on at once, the lines still wait
  EXPECT_TRUE(r.instance.pending());
  r.step(1.109);
  EXPECT_FALSE(r.instance.pending());
  for (int k = 0; k < 20; ++k) line(1.2 + 0.004 * k);  // they come without a pause
  EXPECT_EQ(r.instance.next_wake(), Instant::at_seconds(1.24));
}

TEST(PolicyHost, JoiningsOfWhatDoesNotExistAreRefused) {
  Rig r;
  EXPECT_STREQ(r.instance.join(1, {8, "a", 1, true}).refused, "no such proxy");
  EXPECT_STREQ(r.instance.join(1, {7, "z", 1, true}).refused, "no such zone");
  EXPECT_EQ(r.instance.join(1, {7, "a", 1, true}).refused, nullptr);
}

TEST(PolicyHost, ReportsOnWhatDoesNotExistAreSkipped) {
  Rig r;
  r.instance.handle_list(list(), true);
  r.join(1, 0);
  r.step(1);
  EXPECT_STREQ(r.instance.handle_report(r.now, {}, Heard{"a", "s-99", 1, 0, {}, Span::seconds(2), {}}),
               "no such backend");
  EXPECT_STREQ(r.instance.handle_report(r.now, {}, Heard{"z", "s-1", 1, 0, {}, Span::seconds(2), {}}),
               "no such zone");
  EXPECT_STREQ(r.instance.handle_report(r.now, 1, Heard{"a", "s-1", 1, 0, {}, Span::seconds(2), {}}),
               "not a stream's to tell");
  EXPECT_STREQ(r.instance.handle_report(r.now, 1, Usage{0, "tea", 1, Span::seconds(2)}), "no such operation");
  EXPECT_STREQ(r.instance.handle_report(r.now, 1, Usage{1, "order", 1, Span::seconds(2)}), "another proxy's");
  EXPECT_STREQ(r.instance.handle_report(r.now, {}, Usage{1, "order", 1, Span::seconds(2)}),
               "of a proxy that has not joined");
  EXPECT_FALSE(r.instance.pending());
  EXPECT_EQ(r.instance.handle_report(r.now, 1, Usage{0, "order", 1, Span::seconds(2)}), nullptr);
  EXPECT_EQ(r.instance.handle_report(r.now, {}, Usage{0, "order", 1, Span::seconds(2)}), nullptr);
  EXPECT_EQ(r.instance.handle_report(r.now, {}, Heard{"a", "s-1", 1, 0, {}, Span::seconds(2), {}}), nullptr);
  EXPECT_EQ(r.instance.handle_report(r.now, 1, Applied{0, 3}), nullptr);
  EXPECT_TRUE(r.instance.pending());
}

TEST(PolicyHost, RowsOfAZoneThatDoesNotExistAreCountedAndSkipped) {
  Rig r;
  auto l = list();
  l.rows[2].zone = "nowhere";
  EXPECT_EQ(r.instance.handle_list(l), 1U);
  EXPECT_EQ(r.instance.take_stats().known_backends, kBackends - 1);
}

TEST(PolicyHost, NamesAreForgottenADayLong) {
  Rig r;
  for (std::uint16_t p = 0; p < 8; ++p) r.join(p + 1U, p);
  std::size_t most = 0;
  for (unsigned k = 0; k < 500; ++k) {  // each list holds backends that none before it held
    auto l = list(k + 1);
    for (auto& row : l.rows) row.host += "-" + std::to_string(k);
    r.instance.handle_list(l);
    r.step(k * 5.0);
    most = std::max(most, r.instance.take_stats().known_backends);
  }
  EXPECT_LE(most, 10 * kBackends);
}

// Where a loss from the list does not bind, the module keeps a backend that answers, and may draw its line
// again long after it had none: while a zone's drain has it at zero, say.
TEST(PolicyHost, NamesStandWhereALossFromTheListDoesNotBind) {
  Json loose = config();
  loose["rules"]["removal-not-binding"] = true;
  PolicyHost instance{read_settings(Fields{loose, "settings"}), read_id_names(Fields{loose, "settings"}), 5,
                      Instant{}};
  (void)instance.handle_list(list(), true);
  (void)instance.step(Instant::at_seconds(1));
  discovery::BackendList lost{2, false, {{host_name(4), "", discovery::Health::gone, 1, 0}}};
  (void)instance.handle_list(lost);
  (void)instance.step(Instant::at_seconds(2));
  for (std::uint64_t k = 3; k < 7; ++k) {  // the day goes on with others
    (void)instance.handle_list(
        discovery::BackendList{k, false, {{host_name(5), "c", discovery::Health::ready, 1, 0}}});
    (void)instance.step(Instant::at_seconds(40.0 * static_cast<double>(k)));
  }
  EXPECT_EQ(
      instance.handle_report(Instant::at_seconds(300), {}, Heard{"a", "s-4", 1, 0, {}, Span::seconds(2), {}}),
      nullptr);
  EXPECT_EQ(instance.take_stats().known_backends, kBackends);
}

// Reports wait for each other and joins, ends and lists do not, so a report can reach the module after its
// proxy has left or its backend is forgotten. Every order must name what was listed, and go to a stream that
// is joined.
TEST(PolicyHost, HandOversInAnyOrderNameNothingThatWasNotListed) {
  for (const bool binds : {true, false}) {
    for (unsigned seed = 1; seed <= 12; ++seed) {
      Json settings = config();
      if (!binds) settings["rules"]["removal-not-binding"] = true;
      PolicyHost instance{read_settings(Fields{settings, "settings"}),
                          read_id_names(Fields{settings, "settings"}), seed, Instant{}};
      std::mt19937 chance{seed};
      const auto one_of = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
      std::set<std::string> ever;
      std::map<StreamId, std::uint16_t> on;
      StreamId last = 0;
      std::uint64_t version = 0;
      unsigned born = 0;
      double at = 1;
      std::size_t sends = 0;
      for (int turn = 0; turn < 3000; ++turn) {
        at += 0.002 * one_of(20) + (one_of(100) == 0 ? 31 : 0);  // beyond what names are remembered for
        const Instant now = Instant::at_seconds(at);
        for (unsigned k = one_of(4); k > 0; --k) {
          const auto proxy = static_cast<std::uint16_t>(one_of(8));
          const std::string zone(1, static_cast<char>('a' + one_of(3)));
          const std::string host =
              "h-" + std::to_string(one_of(2) == 0 ? one_of(born + 1) : born - std::min(born, one_of(6)));
          switch (one_of(6)) {
            case 0: {  // new backends, drains, losses, re-listings; now and then the whole list
              discovery::BackendList l{++version, one_of(12) == 0, {}};
              for (unsigned n = 1 + one_of(4); n > 0; --n) {
                const auto health = static_cast<discovery::Health>(one_of(3));
                const std::string name = one_of(3) == 0 ? "h-" + std::to_string(++born) : host;
                if (health != discovery::Health::gone) ever.insert(name);
                l.rows.push_back(
                    {name, zone, health, 1, one_of(2) == 0 ? 0 : static_cast<std::int64_t>(1000 * at)});
              }
              (void)instance.handle_list(l);
              break;
            }
            case 1: {
              const auto join = instance.join(++last, {proxy, zone, 5, true});
              if (join.succeeds)
                on.erase(*join.succeeds), instance.leave(*join.succeeds);  // its end is seen after all
              on[last] = proxy;
              break;
            }
            case 2:
              if (!on.empty()) instance.leave(on.begin()->first), on.erase(on.begin());
              break;
            case 3:
              (void)instance.handle_report(now, {},
                                           Heard{zone, host, 9, static_cast<int>(one_of(10)),
                                                 Span::seconds(0.2), Span::seconds(2), 0.9});
              break;
            default:
              if (!on.empty())
                (void)instance.handle_report(now, on.begin()->first,
                                             Usage{on.begin()->second, "order", 9, Span::seconds(2)});
          }
        }
        for (const auto& [stream, proxy] : on) ASSERT_TRUE(instance.is_joined(proxy));
        if (one_of(3) == 0) continue;  // more may come before the turn's end
        for (const auto& send : instance.step(now).sends) {
          ++sends;
          ASSERT_TRUE(on.contains(send.stream));
          const auto& bytes = send.message->bytes;
          for (auto place = bytes.find("h-"); place != std::string::npos; place = bytes.find("h-", place + 1))
            ASSERT_TRUE(ever.contains(bytes.substr(place, bytes.find(':', place) - place)));
        }
        if (turn % 50 == 0) (void)instance.take_stats();
      }
      EXPECT_GT(sends, 100U);
    }
  }
}

// The same events through the bench's adapter and through an PolicyHost leave the same tables at the proxies.
TEST(PolicyHost, OrdersTheSameTablesAsTheAdapter) {
  Rig r;
  simhost::Host host;
  std::map<int, std::map<std::uint64_t, double>> tables;
  std::map<int, std::map<int, std::string>> levels;
  std::map<int, int> bound;
  std::multimap<double, std::uint64_t> alarms;
  double now = 0;
  const auto adapter = [&](const Json& items) {
    const Json reply = Json::parse(host.reply_to(Json{{"sim-time-s", now}, {"items", items}}.dump()));
    for (const auto& o : reply["output"]) {
      if (o["t"] == "set-weight") {
        if (o["w"] > 0)
          tables[o["sheet"]][o["backend"]] = o["w"];
        else
          tables[o["sheet"]].erase(o["backend"].get<std::uint64_t>());
      }
      if (o["t"] == "subscribe-to") bound[o["client-lb"]] = o["sheet"];
      if (o["t"] == "throttle")
        levels[o["sheet"]][o["mask"]] =
            std::to_string(o["quota"].get<double>()) + "/" + std::to_string(o["how"].get<int>());
      if (o["t"] == "remind") alarms.emplace(now + o["from-now-s"].get<double>(), o["tag"]);
    }
  };
  const auto rows = [](const discovery::BackendList& l) {
    Json members = Json::array();
    for (const auto& row : l.rows)
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
  r.instance.handle_list(list(), true);
  for (std::uint16_t p = 0; p < 8; ++p) {
    r.join(p + 1U, p);
    items.push_back(
        {{"t", "checked-in"}, {"i", 0}, {"client-lb", p}, {"site", p % 3}, {"w", 5.0}, {"on", true}});
  }
  adapter(items);
  r.step(now);

  std::mt19937 chance{3};
  bool was_out = false;
  for (int round = 1; round <= 120; ++round) {
    now = 0.25 * round;
    items = Json::array();
    for (auto it = alarms.begin(); it != alarms.end() && it->first <= now + 1e-9; it = alarms.erase(it))
      items.push_back({{"t", "alarm"}, {"i", 0}, {"tag", it->second}});
    if (round % 8 == 0)
      for (unsigned k = 1; k <= kBackends; ++k)
        for (int zone = 0; zone < 3; ++zone) {  // backend 4 fails from the tenth second on
          const int bad = k == 4 && now > 10 ? 9 : static_cast<int>(chance() % 2);
          items.push_back({{"t", "digest"},
                           {"i", 0},
                           {"site", zone},
                           {"backend", k},
                           {"many", 10},
                           {"lost", bad},
                           {"cost-time-s", 0.25},
                           {"elapsed-s", 2.0},
                           {"load", {{"cpu", 0.5}}}});
          EXPECT_EQ(
              r.instance.handle_report(r.now, {},
                                       Heard{std::string(1, static_cast<char>('a' + zone)), host_name(k), 10,
                                             bad, Span::seconds(0.25), Span::seconds(2), 0.5}),
              nullptr);
        }
    if (round == 30 || round == 44) {  // a drain, then a new start of the same
      discovery::BackendList change{
          2,
          false,
          {{host_name(7), "b", round == 30 ? discovery::Health::draining : discovery::Health::ready, 1,
            round == 30 ? 0 : 11'000}}};
      items.push_back(rows(change)), items.push_back(registry("delta"));
      r.instance.handle_list(change);
    }
    if (round == 50) {
      items.push_back({{"t", "disconnected"}, {"i", 0}, {"client-lb", 2}});
      items.push_back(
          {{"t", "checked-in"}, {"i", 0}, {"client-lb", 2}, {"site", 2}, {"w", 5.0}, {"on", false}});
      r.instance.leave(3);
      r.join(200, 2);
    }
    adapter(items);
    r.step(now);
    was_out = was_out || !r.proxies.held.at(0).lines.contains(host_name(4));
    for (const auto& [proxy, table] : bound) {
      std::map<std::string, double> lines;
      for (const auto& [backend, weight] : tables[table])
        lines[host_name(static_cast<unsigned>(backend))] = weight;
      const auto& held = r.proxies.held.at(static_cast<std::uint16_t>(proxy));
      ASSERT_EQ(held.lines.size(), lines.size()) << "at " << now;
      for (const auto& [name, weight] : lines)
        ASSERT_NEAR(held.lines.at(name), weight, 1e-6) << name << " at " << now;
      ASSERT_EQ(held.levels.size(), levels[table].size());
    }
  }
  EXPECT_TRUE(was_out);  // the day was not an idle one
  EXPECT_GT(r.proxies.messages, 24);
}

}  // namespace
}  // namespace gorsemount::streams
