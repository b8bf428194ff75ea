// Case 2: a class keeps to the proxy's zone, and the three backends of one zone fail part of their tries for a while.
#include "../standin/platform.hpp"
#include "../standin/settings.hpp"

using namespace standin;

int main() {
  Platform platform{std::string{std::getenv("CASE_RECORD") == nullptr ? "record.txt" : std::getenv("CASE_RECORD")}, 12};
  platform.zones = {"kariakoo", "mikocheni", "ubungo", "ilala", "temeke", "kinondoni"};
  platform.classes = {{"refill-check", 0.48, false, 2.0}, {"stock-lookup", 0.28, true, 1.5}, {"place-order", 0.24, false, 1.5}};
  const ClassSettings& kept = platform.classes[1];
  for (int k = 0; k < 18; ++k) {
    Backend b;
    b.host = "s-" + std::to_string(1000 + k), b.zone = platform.zones[static_cast<std::size_t>(k) / 3], b.told_in = 0.001;
    platform.backends[b.host] = b;
  }
  for (int k = 0; k < 12; ++k) platform.add_proxy(platform.zones[static_cast<std::size_t>(k) % 6], 8, 8);
  const Rules rules;
  platform.write_config(dar_main_settings(platform, rules), 256, 64);
  platform.start();

  // The rule, checked every 50 ms for each joined proxy and class. All backends are listed as ready and started long ago for the whole
  // run, and every zone has some, so a line has to be there. A level of 0 would be no break; a level above 0 says nothing about lines.
  struct Bare {
    double since = 0, longest = 0;
  };
  std::map<std::pair<int, std::string>, Bare> bare;
  platform.on_tick = [&] {
    const double t = now();
    if (t < platform.first_answer + 1) return;
    for (const auto& p : platform.proxies)
      for (const auto& c : platform.classes) {
        Bare& state = bare[{p->id, c.name}];
        if (!p->stream || platform.has_line(*p, c)) {
          if (state.since > 0) platform.record.line("proxy %d has a line for %s again after %.2f s", p->id, c.name.c_str(), t - state.since);
          state.since = 0;
          continue;
        }
        if (state.since == 0) {
          state.since = t;
          platform.record.line("proxy %d (%s) has no line to pick for %s", p->id, p->zone.c_str(), c.name.c_str());
        }
        const double before = state.longest;
        state.longest = std::max(state.longest, t - state.since);
        const double limit = rules.unserved_max + rules.slack;
        if (before <= limit && state.longest > limit)
          platform.record.line("RULE: proxy %d (%s) has had no line to pick for %s for more than %.1f s", p->id, p->zone.c_str(), c.name.c_str(), limit);
      }
  };
  platform.play(now() + 12);
  if (platform.answered == 0) cannot_run("no sound service before the disruption");
  const std::uint64_t refused_before = platform.refused;
  if (platform.trouble) {
    platform.record.line("DISRUPTION: the backends of %s (3 of 18) fail 90%% of their tries for 28 s", platform.zones[1].c_str());
    for (auto& [host, b] : platform.backends) b.fails = b.zone == platform.zones[1] ? 0.9 : 0;
  }
  platform.play(now() + 28);
  const std::uint64_t refused_during = platform.refused - refused_before;
  platform.record.line("the disruption has ended");
  for (auto& [host, b] : platform.backends) b.fails = 0;
  platform.play(now() + 25);
  const std::uint64_t refused_after = platform.refused - refused_before - refused_during;
  const bool alive = platform.alive();

  double longest = 0;
  for (const auto& [key, state] : bare) {
    if (state.longest > 0) platform.record.line("proxy %d, %s: longest time without a line %.2f s", key.first, key.second.c_str(), state.longest);
    longest = std::max(longest, state.longest);
  }
  platform.record.line("sent %llu, answered %llu, failed %llu, refused for want of a line: %llu during the disruption, %llu after it",
                       static_cast<unsigned long long>(platform.sent), static_cast<unsigned long long>(platform.answered),
                       static_cast<unsigned long long>(platform.failed), static_cast<unsigned long long>(refused_during),
                       static_cast<unsigned long long>(refused_after));
  std::printf("longest time without a line for %s: %.2f s (allowed: %.1f s); refused during the disruption %llu, after it %llu\n",
              kept.name.c_str(), longest, rules.unserved_max + rules.slack, static_cast<unsigned long long>(refused_during),
              static_cast<unsigned long long>(refused_after));
  return longest > rules.unserved_max + rules.slack || !alive ? 1 : 0;
}
