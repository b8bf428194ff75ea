// What is late, contradicting or out of range, and what still counts then; sources; draws; admission.
#include "coordinator/report_aggregator.hpp"

#include <cmath>

#include "coordinator/admission.hpp"
#include "coordinator/answer_sampling.hpp"
#include "fixture.hpp"

namespace gorsemount::coordinator {
namespace {

struct Heard {
  Settings s = test_settings();
  GroupMap groups{s};
  ReportAggregator evidence{s, [this](const Address& a) { return groups.group_of(a); }};
  Instant now = Instant::at_seconds(10);
  LoadSample sample{"boot", 100, false,
                    0.5,    1.0, {{OperationId{0}, *Prefix::parse("127.1.0.0/24"), 10, 10, 0, 0, 2}}};

  SampleFault next(std::uint64_t more, Span late = {}) {
    now = now + Span::seconds(0.5), sample.uptime += 0.5;
    sample.counts[0].taken += more, sample.counts[0].succeeded += more,
        sample.counts[0].latency += 0.2 * static_cast<double>(more);
    return evidence.load(now, BackendId{1}, now - late, sample);
  }
  std::optional<BackendReport> report() {
    for (const auto& e : evidence.round(now))
      if (const auto* r = std::get_if<BackendReport>(&e)) return *r;
    return {};
  }
};

TEST(ReportAggregator, WhatWasCountedBeforeTheFirstReplyIsNoNews) {
  Heard h;
  EXPECT_EQ(h.next(0), SampleFault::none);
  EXPECT_FALSE(h.report());
  h.next(4);
  const auto r = h.report();
  ASSERT_TRUE(r);
  EXPECT_EQ(r->tries, 4);
  EXPECT_EQ(r->errored, 0);
  EXPECT_NEAR(r->mean_latency.seconds(), 0.2, 1e-6);
  EXPECT_EQ(r->utilization, 0.5);
}

TEST(ReportAggregator, DoubtedLoadsAreNotToldButTrueCountsAre) {
  Heard h;
  h.next(0), h.report();
  EXPECT_EQ(h.next(5, Span::seconds(0.8)), SampleFault::late);
  auto r = h.report();
  ASSERT_TRUE(r);
  EXPECT_EQ(r->tries, 5);
  EXPECT_FALSE(r->utilization);
  h.sample.util = 0.02, h.sample.queue = 9;
  EXPECT_EQ(h.next(5), SampleFault::contradicting);
  EXPECT_FALSE(h.report()->utilization);
  for (const double util : {-0.1, 7.0, std::nan(""), HUGE_VAL}) {
    h.sample.util = util, h.sample.queue = 0;
    EXPECT_EQ(h.next(5), SampleFault::out_of_range) << util;
    EXPECT_FALSE(h.report()->utilization);
  }
}

TEST(ReportAggregator, CountersThatCantBeAreRefusedWhole) {
  Heard h;
  h.next(0), h.report();
  auto good = h.sample;
  h.sample.counts[0].succeeded = h.sample.counts[0].taken + 1;
  EXPECT_EQ(h.next(0), SampleFault::contradicting);
  h.sample = good;
  h.sample.counts[0].taken -= 3, h.sample.counts[0].succeeded -= 3;
  EXPECT_EQ(h.next(0), SampleFault::went_back);
  h.sample = good, h.sample.uptime -= 50;
  EXPECT_EQ(h.next(0), SampleFault::went_back);
  EXPECT_FALSE(h.report());
  h.sample = good, h.sample.boot = "another", h.sample.uptime = 1;
  h.sample.counts[0] = {OperationId{0}, *Prefix::parse("127.1.0.0/24"), 1, 1, 0, 0, 0.1};
  EXPECT_EQ(h.next(0), SampleFault::none) << "a restart may count from nothing";
  EXPECT_NEAR((h.now - *h.evidence.started(BackendId{1})).seconds(), 1.5, 1e-6);
}

TEST(ReportAggregator, RefusalsCountAsErrorsUnlessItDrains) {
  Heard h;
  h.next(0), h.report();
  h.sample.counts[0].refused += 4;
  h.next(0);
  EXPECT_EQ(h.report()->errored, 4);
  h.sample.draining = true, h.sample.counts[0].refused += 4;
  h.next(0);
  EXPECT_FALSE(h.report());
  EXPECT_TRUE(h.evidence.draining(BackendId{1}));
}

TEST(Groups, TheLongestPrefixWinsAndOnlyTrustedResolversAreBelieved) {
  Settings s = test_settings();
  s.groups[0].sources.push_back(*Prefix::parse("127.2.7.0/24"));
  const GroupMap map{s};
  const auto of = [&](const char* a) { return map.group_of(*Address::parse(a)).value; };
  EXPECT_EQ(of("127.2.7.9"), 0);
  EXPECT_EQ(of("127.2.8.9"), 1);
  EXPECT_EQ(of("2001:db8::1"), 1);
  EXPECT_EQ(of("10.0.0.1"), 2);
  EXPECT_EQ(of("::ffff:127.1.0.1"), 0) << "mapped";
  EXPECT_TRUE(map.trusts(*Address::parse("127.9.0.53")));
  EXPECT_FALSE(map.trusts(*Address::parse("127.9.1.53")));
}

std::vector<Line> lines_of(const std::vector<double>& weights) {
  std::vector<Line> lines;
  for (std::size_t k = 0; k < weights.size(); ++k)
    lines.push_back({BackendId{static_cast<std::uint32_t>(k)}, weights[k]});
  return lines;
}

// What a client picks on average must be what the weights say, however few lines an answer holds.
TEST(Draw, PartsOfTheTrafficStayWhatTheWeightsSay) {
  const std::vector<double> weights{1, 1, 0.01, 5, 2, 1, 1, 0.25, 3, 1, 1, 1, 20, 0.5};
  const auto lines = lines_of(weights);
  double sum = 0;
  for (const double w : weights) sum += w;
  for (const std::size_t most : {1U, 3U, 8U, 14U}) {
    std::vector<double> weighted(weights.size()), equal(weights.size());
    LowDiscrepancySequence phase;
    constexpr int kDraws = 20000;
    for (int n = 0; n < kDraws; ++n) {
      const double p = phase.next();
      const auto drawn = sample_weighted(lines, most, p);
      ASSERT_LE(drawn.size(), most);
      double all = 0;
      for (const auto& d : drawn) all += d.weight;
      for (const auto& d : drawn) weighted[d.index] += d.weight / all / kDraws;
      const auto same = sample_uniform(lines, most, p);
      ASSERT_FALSE(same.empty());
      for (const auto k : same) equal[k] += 1.0 / static_cast<double>(same.size()) / kDraws;
    }
    for (std::size_t k = 0; k < weights.size(); ++k) {
      EXPECT_NEAR(weighted[k], weights[k] / sum, 0.012) << most << " lines, line " << k;
      EXPECT_NEAR(equal[k], weights[k] / sum, 0.002) << most << " addresses, line " << k;
    }
  }
}

TEST(Draw, NothingIsDrawnFromNothing) {
  EXPECT_TRUE(sample_weighted({}, 4, 0.5).empty());
  EXPECT_TRUE(sample_uniform({}, 4, 0.5).empty());
}

TEST(Admission, LetsInTheShareEvenly) {
  Admission a;
  int in = 0, run = 0, longest = 0;
  for (int n = 0; n < 1000; ++n) {
    const bool let = a.admit(0.3);
    in += let, run = let ? 0 : run + 1, longest = std::max(longest, run);
  }
  EXPECT_NEAR(in, 300, 1);
  EXPECT_LE(longest, 4);
  Admission none;
  for (int n = 0; n < 100; ++n) in += none.admit(0);
  EXPECT_LE(in, 302);
}

}  // namespace
}  // namespace gorsemount::coordinator
