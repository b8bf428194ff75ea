// What is remembered: the log's difference, its bounds, its bytes, and what age makes of it.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "recovery/codec.hpp"
#include "recovery/fact_confidence.hpp"
#include "recovery/fact_log.hpp"

namespace gorsemount::recovery {
namespace {

Instant at(double s) { return Instant::at_seconds(s); }
Facts some(double share) {
  Facts f;
  f[{FactKind::zone_ladder, "a"}] = {"", {{"share", share}}, {{"next", at(50)}}};
  f[{FactKind::usual_rate, "g"}] = {"", {{"rate", 100}}, {}};
  return f;
}

TEST(FactLog, WritesOnlyWhatDiffersAndSaysWhatIsGone) {
  FactLog k;
  EXPECT_EQ(k.observe(at(1), some(0.5)), 2U);
  EXPECT_EQ(k.observe(at(2), some(0.5)), 0U);
  auto facts = some(0.5);
  facts[{FactKind::usual_rate, "g"}].figures["rate"] = 104;  // measured again, not moved
  facts[{FactKind::zone_ladder, "a"}].times["next"] = at(50.1);
  EXPECT_EQ(k.observe(at(3), facts), 0U);
  facts[{FactKind::usual_rate, "g"}].figures["rate"] = 130;
  facts[{FactKind::zone_ladder, "a"}].figures["share"] = 0.4999;
  EXPECT_EQ(k.observe(at(4), facts), 2U);
  facts.erase({FactKind::zone_ladder, "a"});
  EXPECT_EQ(k.observe(at(5), facts), 1U);
  const auto news = k.after(4);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_TRUE(news[0].deleted);
  k.purge_deleted(at(6), 4);
  EXPECT_EQ(k.entries().size(), 2U) << "not everybody was told";
  k.purge_deleted(at(6), 5);
  EXPECT_EQ(k.entries().size(), 1U);
}

// Whoever reads the log from anywhere, at any pace, ends with what is so: the log is its own snapshot.
TEST(FactLog, AReaderAtAnyPaceEndsWithTheSame) {
  std::mt19937 chance{5};
  FactLog k, copy;
  std::uint64_t upto = 0;
  Facts present;
  for (int step = 0; step < 400; ++step) {
    const Subject s{FactKind::backend_ladder, "w" + std::to_string(chance() % 20)};
    if (chance() % 3 == 0) {
      present.erase(s);
    } else {
      present[s].figures["share"] = static_cast<double>(chance() % 10) / 10;
    }
    k.observe(at(step), present);
    if (chance() % 4 != 0) continue;
    for (auto& e : k.after(upto, 1 + chance() % 5)) upto = e.sequence, copy.put(std::move(e));
  }
  for (auto& e : k.after(upto)) copy.put(std::move(e));
  for (const auto& [subject, fact] : present) {
    const auto it = copy.entries().find(subject);
    ASSERT_NE(it, copy.entries().end());
    EXPECT_FALSE(it->second.deleted);
    EXPECT_EQ(it->second.fact.figures, fact.figures);
  }
  for (const auto& [subject, e] : copy.entries())
    EXPECT_TRUE(e.deleted || present.contains(subject)) << subject.name;
}

TEST(FactLog, IsBoundedAndLosesWhatIsTrustedLeast) {
  FactLog k{10};
  Facts facts;
  for (int n = 0; n < 8; ++n) facts[{FactKind::zone_ladder, std::to_string(n)}].figures["share"] = 0;
  k.observe(at(0), facts);
  for (int n = 0; n < 8; ++n) facts[{FactKind::person_out, std::to_string(n)}].figures["out"] = 1;
  k.observe(at(100), facts);
  EXPECT_EQ(k.entries().size(), 10U);
  for (int n = 0; n < 8; ++n) EXPECT_TRUE(k.entries().contains({FactKind::person_out, std::to_string(n)}));
}

TEST(Codec, CarriesFactsAndMovesTimesToTheReadersClock) {
  std::vector<Entry> entries{{{FactKind::backend_ladder, "w1"},
                              {"127.0.0.1:9", {{"share", 0.25}}, {{"started", at(90)}}},
                              at(95),
                              7,
                              false},
                             {{FactKind::hold, "a"}, {}, at(99), 9, true}};
  const auto read = decode(encode(entries, at(100)), at(5000));
  ASSERT_TRUE(std::holds_alternative<std::vector<Entry>>(read));
  const auto& got = std::get<std::vector<Entry>>(read);
  ASSERT_EQ(got.size(), 2U);
  EXPECT_EQ(got[0].subject, entries[0].subject);
  EXPECT_EQ(got[0].fact.instance, "127.0.0.1:9");
  EXPECT_EQ(got[0].fact.figures, entries[0].fact.figures);
  EXPECT_EQ(got[0].fact.times.at("started"), at(4990));
  EXPECT_EQ(got[0].learned, at(4995));
  EXPECT_EQ(got[0].sequence, 7U);
  EXPECT_TRUE(got[1].deleted);
}

TEST(Codec, TakesNoBatchThatIsCutOrBent) {
  std::vector<Entry> entries{
      {{FactKind::backend_ladder, "w1"}, {"m", {{"share", 0.25}}, {{"next", at(90)}}}, at(95), 7, false}};
  const std::string good = encode(entries, at(100));
  std::mt19937 chance{3};
  for (std::size_t cut = 0; cut + 8 < good.size(); ++cut)
    EXPECT_TRUE(std::holds_alternative<std::string>(decode(std::string_view{good}.substr(0, cut), at(0))))
        << cut;
  for (int n = 0; n < 20000; ++n) {
    std::string bent = good;
    bent[chance() % bent.size()] ^= static_cast<char>(1U << chance() % 8);
    const auto read = decode(bent, at(0));
    if (!std::holds_alternative<std::vector<Entry>>(read)) continue;
    for (const auto& e : std::get<std::vector<Entry>>(read))
      for (const auto& [name, figure] : e.fact.figures) EXPECT_TRUE(std::isfinite(figure));
  }
  entries[0].sequence = 0;
  EXPECT_EQ(std::get<std::string>(decode(encode(entries, at(100)), at(0))), "entry 0: no sequence");
  entries[0].sequence = 1, entries[0].fact.figures["share"] = NAN;
  EXPECT_EQ(std::get<std::string>(decode(encode(entries, at(100)), at(0))), "entry 0: a figure out of range");
}

TEST(Belief, EachKindAgesByItsNatureAndAWeekOldFileActsOnNothing) {
  const double week = 7 * 86400;
  for (std::size_t k = 0; k < kFactKindCount; ++k) {
    const FactKind kind = static_cast<FactKind>(k);
    EXPECT_EQ(classify(kind, Span::seconds(0.5)), FactUse::apply) << name_of(kind);
    EXPECT_NE(classify(kind, Span::seconds(week)), FactUse::apply) << name_of(kind);
    EXPECT_EQ(classify(kind, Span::seconds(-5)), FactUse::hint)
        << "of the future: a clock lies; " << name_of(kind);
  }
  EXPECT_EQ(classify(FactKind::zone_ladder, Span::seconds(100)), FactUse::apply);
  EXPECT_EQ(classify(FactKind::zone_ladder, Span::seconds(200)), FactUse::hint);
  EXPECT_EQ(classify(FactKind::zone_ladder, Span::seconds(600)), FactUse::ignore);
  EXPECT_EQ(classify(FactKind::carried, Span::seconds(3600)), FactUse::apply);
  EXPECT_EQ(classify(FactKind::usual_rate, Span::seconds(week)), FactUse::hint);
}

TEST(Belief, AMemoryInWhichMostAreOutIsNotBelieved) {
  std::vector<Entry> entries;
  entries.push_back({{FactKind::fleet, "fleet"}, {"", {{"backends", 10}}, {}}, at(0), 1, false});
  entries.push_back({{FactKind::zone_ladder, "a"}, {"", {{"share", 0}}, {}}, at(0), 2, false});
  for (int k = 0; k < 5; ++k)
    entries.push_back({{FactKind::backend_ladder, std::to_string(k)},
                       {"", {{"share", 0}}, {}},
                       at(0),
                       3U + static_cast<unsigned>(k),
                       false});
  const auto b = select_trusted(entries, at(1), at(2));
  EXPECT_TRUE(b.too_many_excluded);
  EXPECT_EQ(b.applicable.size(), 2U);
  EXPECT_EQ(b.hints.size(), 5U);
  entries.resize(5);
  EXPECT_EQ(select_trusted(entries, at(1), at(2)).applicable.size(), 5U);
}

TEST(Belief, OfSeveralWhoKnowTheLowerShareAndTheLaterOrderCount) {
  const Entry low{{FactKind::zone_ladder, "a"}, {"", {{"share", 0.1}}, {}}, at(1), 1, false};
  const Entry high{{FactKind::zone_ladder, "a"}, {"", {{"share", 0.9}}, {}}, at(5), 1, false};
  const Entry old{{FactKind::person_out, "w"}, {"", {{"out", 1}}, {}}, at(1), 2, false};
  const Entry fresh{{FactKind::person_out, "w"}, {"", {{"out", 0}}, {}}, at(2), 2, false};
  const auto merged = merge({{high, old}, {low, fresh}});
  ASSERT_EQ(merged.size(), 2U);
  for (const auto& e : merged)
    EXPECT_EQ(e.fact.figures.begin()->second, e.subject.kind == FactKind::zone_ladder ? 0.1 : 0);
}

}  // namespace
}  // namespace gorsemount::recovery
