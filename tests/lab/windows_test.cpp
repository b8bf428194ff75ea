// A long day in windows: what happens is played whole, what is drawn stands for what is not, and the interval
// that is given holds what it says.
#include "lab/replay/windows.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

namespace gorsemount::lab {
namespace {

Span s(double seconds) { return Span::seconds(seconds); }

script::Day some_day(double length) {
  script::Day day;
  day.length = s(length), day.settle = s(3);
  day.zones = {"kariakoo", "ubungo"};
  day.operations = {{"refill-check", "idempotent", 2, s(0.12), s(1), s(2), 1},
                    {"place-order", "side-effecting", 1, s(0.12), s(1), s(2), 3}};
  for (const auto& zone : day.zones) {
    day.workers.emplace_back().zone = zone, day.workers.back().count = 4;
    day.clients.emplace_back().zone = zone, day.clients.back().count = 8, day.clients.back().rate = 4;
  }
  day.coordinators = {"kariakoo"};
  day.phases = {{"day", {}, 1}};
  day.drain_grace = s(5), day.cold_for = s(8), day.unserved = s(3), day.tip_after = s(2), day.lease = s(1),
  day.messages_window = s(10);
  return day;
}

script::InjectedFault crash(double at, double lasts) {
  script::InjectedFault t;
  t.name = "crash", t.zone = "ubungo", t.at = s(at), t.lasts = s(lasts), t.count = 3;
  return t;
}

TEST(Windows, CoverADayOnceAndKeepTogetherWhatHappens) {
  auto day = some_day(86400);
  day.phases.push_back({"evening", s(61200), 0.5});
  day.troubles.push_back(crash(7150, 100));  // and what it leaves behind, over three windows
  WindowPlan plan;
  const auto all = plan_windows(day, plan);
  Span at;
  for (const auto& w : all) {
    EXPECT_EQ(w.from, at);
    EXPECT_EQ(w.stands_for, 1);
    at = w.to;
  }
  EXPECT_EQ(at, day.length - day.settle);
  const auto holds = [](const Window& w, double t) { return w.from <= s(t) && w.to > s(t); };
  for (const auto& w : all) EXPECT_EQ(w.eventful, holds(w, 7150)) << w.from.seconds();
  const auto it = std::find_if(all.begin(), all.end(), [](const auto& w) { return w.eventful; });
  ASSERT_NE(it, all.end());
  EXPECT_EQ(it->from, s(6600));
  EXPECT_EQ(it->to, s(7800)) << "200 s after a trouble the day is as it was";
  plan.part = 0.1;
  double stood_for = 0;
  std::set<std::size_t> strata;
  const auto drawn = plan_windows(day, plan);
  for (const auto& w : drawn) {
    stood_for += w.stands_for;
    if (!w.eventful) strata.insert(w.stratum);
  }
  EXPECT_NEAR(stood_for, static_cast<double>(all.size()), 1e-9);
  EXPECT_EQ(strata.size(), 2U) << "a rate each";
  EXPECT_LT(drawn.size(), 20U);
  EXPECT_EQ(drawn, plan_windows(day, plan));
}

TEST(Windows, BeginWithWhatBeganBefore) {
  auto day = some_day(3600);
  day.phases = {{"day", {}, 1}, {"noon", s(900), 2}, {"evening", s(1810), 0.5}};
  day.troubles = {crash(1000, 1000), crash(1850, 5), crash(100, 5)};
  const auto piece = day_of(day, {s(1800), s(2400), true, 0, 1}, s(20));
  ASSERT_EQ(piece.phases.size(), 2U);
  EXPECT_EQ(piece.phases[0].rate, 2);
  EXPECT_EQ(piece.phases[1].at, s(30));
  ASSERT_EQ(piece.troubles.size(), 2U);
  EXPECT_EQ(piece.troubles[0].at, Span{});
  EXPECT_EQ(piece.troubles[0].lasts, s(220));
  EXPECT_EQ(piece.troubles[1].at, s(70));
  EXPECT_EQ(piece.length, s(623));
  EXPECT_EQ(day_of(day, {Span{}, s(600), true, 0, 1}, s(20)).length, s(603))
      << "nothing comes before the day";
}

// A made-up day whose truth is known: of many samples the stated interval must hold it in about 95 of 100.
TEST(Windows, TheIntervalHoldsTheTruthAsOftenAsItSays) {
  std::mt19937 chance{11};
  constexpr int kStrata = 3, kEach = 60, kDrawn = 8;
  std::vector<Sampled> day;
  for (int h = 0; h < kStrata; ++h)
    for (int k = 0; k < kEach; ++k) {
      const double asked = 1000 * (h + 1) * std::uniform_real_distribution<>{0.9, 1.1}(chance);
      day.push_back({static_cast<std::size_t>(h), 1,
                     asked * std::uniform_real_distribution<>{0.99 - 0.04 * h, 1}(chance), asked});
    }
  const auto truth = ratio(day);
  EXPECT_EQ(truth.low, truth.high) << "all were played";
  int held = 0;
  double width = 0;
  constexpr int kRounds = 1000;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Sampled> drawn;
    for (int h = 0; h < kStrata; ++h) {
      std::vector<Sampled> in{day.begin() + h * kEach, day.begin() + (h + 1) * kEach};
      std::shuffle(in.begin(), in.end(), chance);
      for (int k = 0; k < kDrawn; ++k)
        drawn.push_back(in[static_cast<std::size_t>(k)]),
            drawn.back().stands_for = static_cast<double>(kEach) / kDrawn;
    }
    const auto d = ratio(drawn);
    held += d.low <= truth.mean && truth.mean <= d.high ? 1 : 0;
    width += (d.high - d.low) / kRounds;
  }
  EXPECT_GT(held, kRounds * 91 / 100);
  EXPECT_LT(held, kRounds * 99 / 100) << "an interval that always holds says too little";
  EXPECT_LT(width, 0.02);
}

TEST(Windows, GiveTheCountOfTheWholeDay) {
  auto day = some_day(900);
  day.troubles.push_back(crash(130, 20));
  day.phases.push_back({"noon", s(500), 1.6});
  SimulationSettings world;
  const std::vector<Variant> variants{{"as it is", "", {}},
                                      {"slow reports", "", {read_override("coordinator.report_every=4s")}}};
  const auto whole = run_variants(day, variants, 1, 2, world, [](double) {});
  WindowPlan plan;
  plan.length = s(100);
  const auto windowed = run_windows(day, variants, plan, 1, world, [](double) {});
  for (std::size_t v = 0; v < 2; ++v) {
    EXPECT_NEAR(windowed.variants[v].whole.service(), whole[v].whole.service(), 0.01);
    EXPECT_NEAR(static_cast<double>(windowed.variants[v].whole.invocations),
                static_cast<double>(whole[v].whole.invocations),
                0.03 * static_cast<double>(whole[v].whole.invocations));
  }
  EXPECT_NE(windowed.variants[1].against_first.mean, 0);
  EXPECT_NEAR(windowed.variants[1].against_first.mean, whole[1].whole.service() - whole[0].whole.service(),
              0.01)
      << text_report(day, windowed);
  const auto again = run_windows(day, variants, plan, 3, world, [](double) {});
  EXPECT_EQ(text_report(day, windowed), text_report(day, again)) << "three jobs as one";
}

TEST(Windows, AThinnedDayIsAsBusyAsBefore) {
  auto day = some_day(60);
  day.troubles.push_back(crash(20, 10));
  for (auto& w : day.workers) w.count = 20;
  for (auto& c : day.clients) c.count = 40;
  day.troubles[0].count = 10;
  const auto thin = scaled_down(day, 4);
  EXPECT_EQ(thin.workers[0].count, 5);
  EXPECT_EQ(thin.clients[1].count, 10);
  EXPECT_EQ(thin.troubles[0].count, 3);
  const std::vector<Variant> variants{{"as it is", "", {}}};
  const auto all = run_variants(day, variants, 3, 1, {}, [](double) {}),
             few = run_variants(thin, variants, 3, 1, {}, [](double) {});
  EXPECT_NEAR(few[0].whole.service(), all[0].whole.service(), 0.03);
  try {
    static_cast<void>(scaled_down(day, 50));
    ADD_FAILURE() << "nobody would be left";
  } catch (const std::runtime_error& fault) {
    EXPECT_NE(std::string{fault.what()}.find("workers of kariakoo are 20"), std::string::npos)
        << fault.what();
  }
}

}  // namespace
}  // namespace gorsemount::lab
