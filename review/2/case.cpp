// Case 2: a class keeps to the proxy's zone, and the fleet shrinks: one backend of each zone drains and goes.
#include "../bare.hpp"
#include "../platform.hpp"
#include "../settings.hpp"

using namespace standin;

int main() {
  const char* value = std::getenv("TROUBLE");
  Platform platform{value == nullptr || std::string{value} != "0", 13};
  for (int k = 0; k < 10; ++k) platform.zones.push_back("zone-" + std::string(1, static_cast<char>('a' + k)));
  platform.classes = {{"refill-check", 0.48, false, 2.0}, {"stock-lookup", 0.28, true, 1.5}, {"place-order", 0.24, false, 1.5}};
  const ClassSettings& kept = platform.classes[1];
  for (int k = 0; k < 30; ++k) {
    Backend b;
    b.host = "s-" + std::to_string(1000 + k), b.zone = platform.zones[static_cast<std::size_t>(k) / 3], b.told_in = 0.001;
    platform.backends[b.host] = b;
  }
  for (int k = 0; k < 40; ++k) platform.add_proxy(platform.zones[static_cast<std::size_t>(k) / 4], 2.3, 8);
  const Rules rules;
  platform.write_config(dar_main_settings(platform, rules), 256, 64);
  platform.start();

  BareCheck rule{platform, rules};
  // The first of each zone's three backends drains, one zone after the other, and goes 4 s later. Two of each zone stay, warm and sound.
  const double begin = now() + 10;
  std::size_t told_draining = 0, told_gone = 0;
  platform.on_tick = [&] {
    rule.check();
    if (!platform.trouble) return;
    const auto tell = [&](std::size_t zone, Health health) {
      const std::string host = "s-" + std::to_string(1000 + 3 * zone);
      platform.backends.at(host).health = health;
      platform.record.line("DISRUPTION: the fleet shrinks, %s of %s %s", host.c_str(), platform.zones[zone].c_str(),
                           health == Health::gone ? "is gone" : "drains");
      platform.discovery.changed({host});
    };
    if (told_draining < platform.zones.size() && now() >= begin + static_cast<double>(told_draining)) tell(told_draining++, Health::terminating);
    if (told_gone < platform.zones.size() && now() >= begin + 4 + static_cast<double>(told_gone)) tell(told_gone++, Health::gone);
  };
  platform.play(begin);
  if (platform.answered == 0) cannot_run("no sound service before the disruption");
  platform.play(begin + 50);
  const bool alive = platform.alive();

  const double longest = rule.longest();
  platform.record.line("sent %llu, answered %llu, failed %llu, refused for want of a line %llu", static_cast<unsigned long long>(platform.sent),
                       static_cast<unsigned long long>(platform.answered), static_cast<unsigned long long>(platform.failed),
                       static_cast<unsigned long long>(platform.refused));
  std::printf("longest time without a line for %s: %.2f s (allowed: %.1f s); refused for want of a line: %llu\n", kept.name.c_str(), longest,
              rule.limit(), static_cast<unsigned long long>(platform.refused));
  return longest > rule.limit() || !alive ? 1 : 0;
}
