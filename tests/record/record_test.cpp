// Recordings: what goes in comes out, what is damaged is named with its place, a killed writer leaves what it
// flushed, and a recorded coordinator orders the same again.
#include <sys/wait.h>
#include <unistd.h>
#include <xxhash.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

#include "config/settings.hpp"
#include "coordinator/fixture.hpp"
#include "lab/replay/compare.hpp"
#include "lab/replay/step_replay.hpp"
#include "net/loop.hpp"
#include "record/codec.hpp"
#include "record/recorder.hpp"
#include "record/tools.hpp"

namespace gorsemount::record {
namespace {

using namespace coordinator;

class Folder {
 public:
  Folder() {
    std::string text = (std::filesystem::temp_directory_path() / "gorsemount-record-XXXXXX").string();
    if (mkdtemp(text.data()) == nullptr) throw std::runtime_error{"mkdtemp"};
    path = text;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  [[nodiscard]] std::string at(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

std::vector<Input> some_inputs() {
  LoadSample sample{"boot-1",     12.5,
                    true,         0.25,
                    std::nullopt, {{OperationId{1}, *Prefix::parse("127.1.0.0/24"), 9, 8, 1, 2, 0.75}}};
  return {
      RosterUpdate{test_roster(3)},
      LoadReport{BackendId{1}, Instant::at_seconds(3), sample},
      LoadPollFailed{BackendId{2}, "refused"},
      HealthCheckResult{BackendId{2}, Health::refused, Span::seconds(0.1)},
      GroupLookup{ProxyId{1}},
      ForwarderJoined{ProxyId{30000}, true},
      ForwarderLeft{ProxyId{30000}},
      ForwarderReport{
          ProxyId{30000}, {{BackendId{1}, OperationId{0}, 5, 1, Span::seconds(0.2)}}, {{OperationId{0}, 6}}},
      ForwarderAppliedTable{ProxyId{30000}, 7},
      OperatorCommand{OperatorCommand::Action::set_weight, "w1", 0.5, Span::seconds(60)},
      FactsReceived{
          {{{recovery::FactKind::hold, "a"}, {"", {{"on", 1}}, {}}, Instant::at_seconds(2), 1, false}}},
      GroupLeadership{ProxyId{0}, false},
      LeaderTable{ProxyId{0}, true, {{"w1", 0.5}}, {{1, 0.75}}}};
}

TEST(RecordCodec, CarriesEveryKindOfInput) {
  const auto bytes = encode(some_inputs(), Instant{});
  const auto read = decode(bytes, Instant{});
  ASSERT_TRUE(std::holds_alternative<std::vector<Input>>(read)) << std::get<std::string>(read);
  const auto& got = std::get<std::vector<Input>>(read);
  ASSERT_EQ(got.size(), some_inputs().size());
  EXPECT_EQ(encode(got, Instant{}), bytes);
  std::mt19937 chance{7};
  for (int k = 0; k < 4000; ++k) {
    std::string bent = bytes;
    bent[chance() % bent.size()] ^= static_cast<char>(1U << chance() % 8);
    static_cast<void>(decode(bent, Instant{}));  // an answer, whatever it is
    static_cast<void>(decode(std::string_view{bytes}.substr(0, chance() % bytes.size()), Instant{}));
  }
}

Recording some(std::size_t n) {
  Recording r;
  std::mt19937 chance{3};
  r.header.name = "pwani-1", r.header.settings = "settings", r.operations = {"read", "write"},
  r.workers = {"a-1", "a-2"}, r.proxies = {"p"};
  std::int64_t t = 5'000'000;
  for (std::size_t k = 0; k < n; ++k) {
    t += chance() % 2000;
    const std::string orders = "orders of " + std::to_string(k);
    r.steps.push_back(
        {t, XXH3_64bits(orders.data(), orders.size()), encode({GroupLookup{ProxyId{1}}}, Instant{}), orders});
    r.invocations.push_back({t / 100 * 100, static_cast<std::uint32_t>(100 * (chance() % 5000)),
                             static_cast<std::uint8_t>(chance() % 2), static_cast<std::uint8_t>(chance() % 5),
                             1, 0, static_cast<std::uint16_t>(chance() % 2)});
  }
  return r;
}

TEST(RecordFile, GivesBackWhatWasWritten) {
  const Folder folder;
  const auto r = some(20000);
  write(r, folder.at("a.h5"));
  const auto back = read(folder.at("a.h5"));
  EXPECT_EQ(back.header.name, "pwani-1");
  EXPECT_EQ(back.header.settings, "settings");
  EXPECT_EQ(back.operations, r.operations);
  EXPECT_EQ(back.invocations, r.invocations);
  ASSERT_EQ(back.steps.size(), r.steps.size());
  EXPECT_EQ(back.steps[777].inputs, r.steps[777].inputs);
  EXPECT_EQ(back.steps[777].orders, r.steps[777].orders);
  EXPECT_FALSE(back.cut);
  EXPECT_TRUE(verify(back, [](double) {}).empty());
  const auto part = cut(back, 1, 3);
  EXPECT_LT(part.steps.size(), back.steps.size());
  EXPECT_GT(part.steps.size(), 100U);
  EXPECT_NE(export_as(back, "csv", "invocations").find("came_us,took_us,operation"), std::string::npos);
}

TEST(RecordFile, NamesWhatIsDamagedAndWhereAndNeverFalls) {
  const Folder folder;
  write(some(30000), folder.at("a.h5"));
  std::ifstream in{folder.at("a.h5"), std::ios::binary};
  const std::string good{std::istreambuf_iterator<char>{in}, {}};
  std::mt19937 chance{11};
  int refused = 0;
  for (int k = 0; k < 150; ++k) {
    std::string bent = good;
    if (k % 3 == 0) {
      bent.resize(chance() % good.size());
    } else {
      for (int n = 0; n < 1 + k % 4; ++n)
        bent[chance() % bent.size()] ^= static_cast<char>(1U << chance() % 8);
    }
    std::ofstream{folder.at("b.h5"), std::ios::binary} << bent;
    try {
      static_cast<void>(read(folder.at("b.h5"), 64U << 20U));
    } catch (const std::exception& fault) {
      ++refused;
      EXPECT_NE(std::string{fault.what()}.find("b.h5: "), std::string::npos) << fault.what();
    }
  }
  EXPECT_GT(refused, 75);
  EXPECT_THROW(static_cast<void>(read(folder.at("a.h5"), 1000)), std::runtime_error)
      << "more than may be read";
  EXPECT_THROW(static_cast<void>(read(folder.at("none.h5"))), std::runtime_error);
}

TEST(RecordFile, AnOlderSchemaIsReadAndALaterOneRefused) {
  const Folder folder;
  for (const int schema : {1, 2, 3}) {
    Header h;
    h.schema = schema;
    {
      Writer w{folder.at("a.h5"), h};
      w.invocation({100, 200, 0, 0, 3, 0, 0});
    }
    if (schema == 3) {
      EXPECT_THROW(static_cast<void>(read(folder.at("a.h5"))), std::runtime_error);
    } else {
      EXPECT_EQ(read(folder.at("a.h5")).invocations.at(0).tries, schema == 1 ? 1 : 3) << "not known then";
    }
  }
}

TEST(RecordFile, AKilledWriterLeavesWhatItFlushed) {
  const Folder folder;
  for (int round = 0; round < 8; ++round) {
    const std::string file = folder.at("k" + std::to_string(round) + ".h5");
    int ready[2];
    ASSERT_EQ(pipe(ready), 0);
    const pid_t child = fork();
    if (child == 0) {
      Writer w{file, {}};
      for (std::int64_t k = 0;; ++k) {
        w.step({k, 0, "in", "out"}), w.invocation({k * 100, 0, 0, 0, 1, 0, 0});
        if (k % 500 == 0) w.flush();
        if (k == 1000 && ::write(ready[1], "w", 1) != 1) _exit(1);
      }
    }
    close(ready[1]);
    char byte = 0;
    ASSERT_EQ(::read(ready[0], &byte, 1), 1);
    close(ready[0]);
    usleep(1000 + 17000 * static_cast<unsigned>(round));
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    const auto r = read(file);
    ASSERT_GT(r.steps.size(), 500U);
    for (std::size_t k = 0; k < r.steps.size(); ++k) {
      ASSERT_EQ(r.steps[k].t, static_cast<std::int64_t>(k));
      ASSERT_EQ(r.steps[k].inputs, "in");
    }
  }
}

TEST(Recorder, DetailGoesInTheStatedOrderAndIsCounted) {
  EXPECT_EQ(detail_for(0, 100), Detail::all);
  EXPECT_EQ(detail_for(50, 100), Detail::no_orders);
  EXPECT_EQ(detail_for(80, 100), Detail::no_inputs);
  EXPECT_EQ(detail_for(100, 100), Detail::nothing);
  const Folder folder;
  background::Executor background{net::monotonic_now};
  EXPECT_THROW(
      (Recorder{
          background, {folder.at("nowhere/a.h5"), 1U << 30U, 64}, {}, Instant{}, [](const std::string&) {}}),
      std::runtime_error);
  // More than the writer keeps up with: nothing waits, and what was left out is counted.
  Recorder recorder{background, {folder.at("a.h5"), 1U << 30U, 4}, {}, Instant{}, [](const std::string&) {}};
  for (int k = 0; k < 3000; ++k) recorder.step(Instant::at_seconds(k), some_inputs(), Effects{});
  const auto left = recorder.dropped_counts();
  EXPECT_GT(left.at("steps"), 0U);
  EXPECT_GE(left.at("orders"), left.at("inputs"));
}

// A coordinator's life, recorded, and stepped again.
TEST(Replay, TheSameInputsGiveTheSameOrdersAndAnOtherOneIsFound) {
  const Folder folder;
  script::Day day;
  day.name = "d", day.origin = "x.test", day.zones = {"a", "b", "c"}, day.coordinators = {"a"};
  day.operations = {{"read", "idempotent", 1, Span::seconds(0.1), Span::seconds(1), Span::seconds(2), 1}};
  day.clients = {{"a", 2, 1, 0, 0}};
  day.drain_grace = Span::seconds(5), day.unserved = Span::seconds(3), day.cold_for = Span::seconds(8),
  day.messages_window = Span::seconds(10);
  Header header;
  header.settings = script::coordinator_settings(day, {}, 1, ".");
  config::Findings findings;
  const auto settings = config::read_settings(header.settings, "s", findings);
  ASSERT_TRUE(findings.faults.empty()) << findings.faults.front().text();
  {
    background::Executor background{net::monotonic_now};
    Recorder recorder{
        background, {folder.at("a.h5"), 1U << 30U, 100000}, header, Instant{}, [](const std::string&) {}};
    Rig rig{9, settings.core};
    Coordinator core{settings.core, policy_decision_maker(settings.core)};
    Instant now = Instant::at_seconds(5000);
    const auto step = [&](std::vector<Input> inputs) {
      const auto effects = core.step(now, inputs);
      recorder.step(now, std::move(inputs), effects);
    };
    step({RosterUpdate{rig.roster}});
    for (int k = 0; k < 200; ++k) {
      now = now + Span::seconds(0.1);
      std::vector<Input> inputs;
      for (unsigned w = 0; w < 9; ++w) {
        rig.workers[w].started = Instant::at_seconds(4000), rig.now = now;
        rig.workers[w].taken += 3, rig.workers[w].succeeded += w == 2 && k > 60 ? 0 : 3,
            rig.workers[w].errored += w == 2 && k > 60 ? 3 : 0;
        if (k % 5 == 0)
          inputs.emplace_back(LoadReport{*core.backend_id(rig.roster[w].name), now, rig.sample(w)});
      }
      if (k % 10 == 0) inputs.emplace_back(GroupLookup{ProxyId{0}});
      step(std::move(inputs));
    }
  }
  auto r = read(folder.at("a.h5"));
  ASSERT_GT(r.steps.size(), 200U);
  const auto same = lab::replay_steps(r);
  EXPECT_EQ(same.difference, "");
  EXPECT_EQ(same.compared, r.steps.size());
  // One input less, far in: found at the first step that it changes.
  for (std::size_t k = 62; k < 120; ++k) r.steps[k].inputs = encode({}, Instant{});
  const auto other = lab::replay_steps(r);
  EXPECT_NE(other.difference.find("recorded:"), std::string::npos);
  EXPECT_GE(other.compared, 62U);
}

TEST(Merge, FindsTheClocksOffsetFromCommonWorkers) {
  Recording a, b;
  for (int k = 0; k < 30; ++k)
    for (auto* r : {&a, &b}) {
      const double shift = r == &b ? 100 : 0;
      LoadSample s{"boot-" + std::to_string(k % 3), 10.0 + k, false, 0.1, 0.0, {}};
      r->steps.push_back(
          {static_cast<std::int64_t>(1e6 * (k + shift)), 0,
           encode({LoadReport{BackendId{1}, Instant::at_seconds(k + shift + 0.001 * (k % 2)), s}}, Instant{}),
           ""});
    }
  a.operations = {"read"}, b.operations = {"write", "read"}, a.workers = b.workers = {"a-1"};
  a.invocations.push_back({5'000'000, 0, 0, 0, 1, 0, 0});
  b.invocations.push_back({104'000'000, 0, 1, 0, 1, 0, 0});
  const auto m = merge(a, b);
  EXPECT_NEAR(m.offset, -100, 0.01);
  EXPECT_EQ(m.common, 3U);
  ASSERT_EQ(m.recording.invocations.size(), 2U);
  EXPECT_NEAR(static_cast<double>(m.recording.invocations[0].came) / 1e6, 4, 0.01);
  EXPECT_EQ(m.recording.operations[m.recording.invocations[0].operation], "read");
  EXPECT_THROW(static_cast<void>(merge(a, Recording{})), std::runtime_error);
}

TEST(Override, PutsAValueInPlaceOrNamesWhatIsWrong) {
  const auto o = lab::read_override("rules.drain_grace=2s");
  EXPECT_NE(lab::apply_override("rules {\n  drain_grace = \"5s\"\n}\n", o).find("drain_grace = \"2s\""),
            std::string::npos);
  EXPECT_NE(lab::apply_override("", o).find("rules {\n  drain_grace = \"2s\"\n}"), std::string::npos);
  for (const char* bad : {"rules", "rules.x", ".x=1", "rules.=1", "rules.x="})
    EXPECT_THROW(static_cast<void>(lab::read_override(bad)), std::runtime_error) << bad;
}

}  // namespace
}  // namespace gorsemount::record
