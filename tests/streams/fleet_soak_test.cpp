// Random days of a fleet, by seed: waves of joins and leaves while backends drain, end and come back. The
// rules on draining backends and on the channel's queue hold on each, and all proxies get their tables.
// GORSEMOUNT_SOAK_SEEDS sets how many seeds are played, GORSEMOUNT_SOAK_FIRST the first one.
#include <cstdlib>
#include <random>

#include "streams/fake_fleet.hpp"

namespace gorsemount::streams {
namespace {

using testing::Deployment;
using testing::Fleet;

constexpr double kDay = 20, kSettle = 12;  // s; nothing happens in the time to settle

class RandomDay {
 public:
  explicit RandomDay(std::uint32_t seed)
      : random_{seed}, deployment_{draw_deployment()}, fleet_{deployment_} {
    fleet_.bring_full_tables();
    fleet_.join_all(0, uniform(0.1, 1));
    plan_waves();
    plan_drains();
  }
  Fleet& play() {
    fleet_.run_until(kDay + kSettle);
    return fleet_;
  }
  [[nodiscard]] std::string describe() const {
    return std::to_string(deployment_.proxies) + " proxies, " + std::to_string(deployment_.backends) +
           " backends, " + std::to_string(deployment_.push_rate) + " lines/s" +
           (deployment_.has_zone_bound ? ", two tables" : "");
  }

 private:
  double uniform(double from, double to) { return std::uniform_real_distribution<>{from, to}(random_); }
  unsigned below(unsigned n) { return std::uniform_int_distribution<unsigned>{0, n - 1}(random_); }

  // Within what the platform promises of its limits: what can't be put off fits twice.
  Deployment draw_deployment() {
    Deployment drawn;
    drawn.proxies = 50 + below(450);
    drawn.backends = 18 + below(40);
    drawn.push_rate = uniform(11, 20) * drawn.proxies;
    drawn.has_zone_bound = below(2) == 0;
    return drawn;
  }
  void plan_waves() {
    for (double at = uniform(2, 6); at < kDay; at += uniform(3, 8)) {
      const double part = uniform(0.1, 1), span = uniform(0.1, 0.8), away = uniform(0, 1.5);
      for (unsigned p = 0; p < deployment_.proxies; ++p) {
        if (uniform(0, 1) > part) continue;
        const double left = at + uniform(0, span);
        // Some join again before the end of their former stream is seen.
        if (below(4) > 0) fleet_.at(left, [this, p] { fleet_.leave(p); });
        fleet_.at(left + uniform(0.05, 0.4) + away, [this, p] { fleet_.join(p); });
      }
    }
  }
  // At most a third of the backends, one after the other. Some end, some stay as they are, some come back.
  void plan_drains() {
    double at = uniform(0, 3);
    for (unsigned k = 0; k < deployment_.backends / 3 && at < kDay; ++k, at += uniform(0.7, 2)) {
      const unsigned number = k * 3 + below(3);
      fleet_.at(at, [this, number] { fleet_.set_health(number, discovery::Health::draining); });
      const double later = at + uniform(2, 6);
      const unsigned end = below(4);
      if (end < 2) fleet_.at(later, [this, number] { fleet_.set_health(number, discovery::Health::gone); });
      if (end == 2) fleet_.at(later, [this, number] { fleet_.set_health(number, discovery::Health::ready); });
    }
  }

  std::mt19937 random_;
  Deployment deployment_;
  Fleet fleet_;
};

std::uint32_t number_from(const char* variable, std::uint32_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

TEST(FleetSoak, RulesHoldOnRandomDays) {
  constexpr std::uint32_t kSeeds = 300;
  const std::uint32_t first = number_from("GORSEMOUNT_SOAK_FIRST", 1);
  const std::uint32_t seeds = number_from("GORSEMOUNT_SOAK_SEEDS", kSeeds);
  for (std::uint32_t seed = first; seed < first + seeds; ++seed) {
    RandomDay day{seed};
    SCOPED_TRACE("seed " + std::to_string(seed) + ": " + day.describe());
    const Fleet& fleet = day.play();
    EXPECT_EQ(fleet.late_lines(), 0);
    EXPECT_LE(fleet.longest_backlog(), fleet.backlog_limit());
    EXPECT_EQ(fleet.without_whole_table(), 0U);
  }
}

}  // namespace
}  // namespace gorsemount::streams
