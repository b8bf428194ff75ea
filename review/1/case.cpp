// Case 1: a collector's connection continues with a message that can't be read; then a backend drains.
#include "../platform.hpp"
#include "../settings.hpp"

using namespace standin;

namespace {

// One line within the protocol's limit of 1 MiB, of a known kind, whose words name no field of it.
std::string unreadable_message(std::size_t bytes) {
  const std::string digits = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::string text = "heard";
  for (std::size_t number = 0; text.size() + 12 < bytes; ++number) {
    std::string name;
    for (std::size_t n = number; name.size() < 4; n /= digits.size()) name += digits[n % digits.size()];
    text += " " + name + "=0";
  }
  return text + "\r\n";
}

}  // namespace

int main() {
  const char* value = std::getenv("TROUBLE");
  Platform platform{value == nullptr || std::string{value} != "0", 11};
  platform.zones = {"kariakoo", "mikocheni", "ubungo"};
  platform.classes = {{"refill-check", 0.48, false, 2.0}, {"stock-lookup", 0.28, false, 1.5}, {"place-order", 0.24, false, 1.5}};
  for (int k = 0; k < 15; ++k) {
    Backend b;
    b.host = "s-" + std::to_string(1000 + k), b.zone = platform.zones[static_cast<std::size_t>(k) % 3], b.told_in = 0.001;
    platform.backends[b.host] = b;
  }
  for (int k = 0; k < 9; ++k) platform.add_proxy(platform.zones[static_cast<std::size_t>(k) % 3], 10, 8);
  const Rules rules;
  platform.write_config(dar_main_settings(platform, rules), 256, 64);
  platform.start();

  // Sound service first. Every try at the draining backend after the grace breaks the rule.
  const std::string draining = "s-1004";
  std::uint64_t late = 0, within = 0;
  double last_late = 0;
  platform.on_request = [&](Proxy& p, const std::string& host) {
    const double told = platform.backends.at(host).told_out;
    if (told == 0) return;
    if (now() - told <= rules.drain_grace + rules.slack) {
      ++within;
      return;
    }
    ++late, last_late = now() - told;
    platform.record.line("RULE: proxy %d sends to %s, which drains, %.3f s after the coordinator was told", p.id, host.c_str(), now() - told);
  };
  platform.play(now() + 8);
  if (platform.answered == 0 || platform.longest_silence > 2) cannot_run("no sound service before the disruption");
  const double processor_before = platform.processor_time();
  const double garble_at = now();
  if (platform.trouble) {
    const std::string message = unreadable_message(1'000'000);
    platform.record.line("DISRUPTION: the collector of kariakoo continues with one message of %zu bytes that can't be read", message.size());
    platform.collectors["kariakoo"]->send(message);
  }
  platform.longest_silence = 0;
  platform.play(now() + 2);
  platform.record.line("%s is to drain", draining.c_str());
  platform.backends.at(draining).health = Health::terminating;
  platform.discovery.changed({draining});
  platform.play(now() + 40);

  const bool alive = platform.alive();
  const double processor = alive ? platform.processor_time() - processor_before : -1;
  const double told = platform.backends.at(draining).told_out;
  platform.record.line("sent %llu, answered %llu, failed %llu, refused %llu", static_cast<unsigned long long>(platform.sent),
                       static_cast<unsigned long long>(platform.answered), static_cast<unsigned long long>(platform.failed),
                       static_cast<unsigned long long>(platform.refused));
  platform.record.line("the coordinator %s; longest time without an answer to a ping %.1f s; processor time in these %.1f s: %.1f s",
                       alive ? "lives" : "has ended", platform.longest_silence, now() - garble_at, processor);
  if (told == 0) cannot_run("the drain was not written to the coordinator");
  platform.record.line("tries at the draining backend: %llu within the grace of %.1f s + 0.3 s, %llu after it, the last %.1f s after it was told",
                       static_cast<unsigned long long>(within), rules.drain_grace, static_cast<unsigned long long>(late), last_late);
  std::printf("tries after the grace: %llu; longest time without a sign of life: %.1f s; processor time %.1f s\n",
              static_cast<unsigned long long>(late), platform.longest_silence, processor);
  return late > 0 || !alive ? 1 : 0;
}
