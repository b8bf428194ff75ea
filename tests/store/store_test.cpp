// The store on a disk that loses, tears and bends: whatever happens, what is read is a state that was
// written, not older than the last sync; with the sync or the checksum off the same test must find the
// damage.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <map>
#include <random>
#include <thread>

#include "net/loop.hpp"
#include "recovery/fact_confidence.hpp"
#include "store/store_writer.hpp"

namespace gorsemount::store {
namespace {

using recovery::ClockReading;
using recovery::Entry;
using recovery::FactKind;

// What is certain, and what was written since the last sync. A crash keeps any part of that, torn at any
// byte, in any order; names likewise.
class SimDisk : public Disk {
 public:
  void create(const std::string& name) override { op(), files_[name] = {}; }
  void append(const std::string& name, std::string_view bytes) override {
    op();
    if (fail_at != 0 && ops >= fail_at) {
      files_[name].loose.emplace_back(bytes.substr(0, bytes.size() / 2));  // a short write, and then an error
      throw DiskError{"no space left"};
    }
    files_[name].loose.emplace_back(bytes);
  }
  void sync(const std::string& name) override {
    op();
    auto& f = files_[name];
    for (const auto& part : f.loose) f.sure += part;
    f.loose.clear();
  }
  void rename(const std::string& from, const std::string& to) override {
    op();
    files_[to] = files_[from], files_.erase(from);
    renames_.emplace_back(from, to);
  }
  void sync_directory() override { op(), renames_.clear(); }
  void remove(const std::string& name) override { op(), files_.erase(name); }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, f] : files_) names.push_back(name);
    return names;
  }
  std::string read(const std::string& name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) throw DiskError{name};
    std::string all = it->second.sure;
    for (const auto& part : it->second.loose) all += part;
    return all;
  }
  void crash(std::mt19937& chance) {
    for (auto& [name, f] : files_) {
      bool hole = false;
      for (auto& part : f.loose) {
        switch (chance() % 4) {
          case 0:
            f.sure += hole ? std::string(part.size(), '\0') : part;
            break;
          case 1:
            f.sure += part.substr(0, chance() % (part.size() + 1)), hole = true;
            break;  // torn
          case 2:
            f.sure += std::string(part.size(), '\0');
            break;  // a later one came first
          default:
            hole = true;
            break;
        }
        if (hole && chance() % 2 == 0) break;
      }
      f.loose.clear();
    }
    for (auto it = renames_.rbegin(); it != renames_.rend(); ++it)
      if (chance() % 2 == 0 && files_.contains(it->second))
        files_[it->first] = files_[it->second], files_.erase(it->second);
    renames_.clear();
  }
  void flip(std::mt19937& chance) {
    auto it = files_.begin();
    std::advance(it, chance() % files_.size());
    if (!it->second.sure.empty())
      it->second.sure[chance() % it->second.sure.size()] ^= static_cast<char>(1U << chance() % 8);
  }

  struct Crash {};
  std::size_t ops = 0, crash_at = 0, fail_at = 0;

 private:
  struct File {
    std::string sure;
    std::vector<std::string> loose;
  };
  void op() {
    ++ops;
    if (ops == crash_at) throw Crash{};
  }
  std::map<std::string, File> files_;
  std::vector<std::pair<std::string, std::string>> renames_;
};

ClockReading at(double s) {
  return {"boot", static_cast<std::int64_t>(s * 1e6), static_cast<std::int64_t>((1e6 + s) * 1e6)};
}
Instant instant(double s) { return Instant::at_seconds(s); }

// State `n` of the world: every fact of it says n.
std::vector<Entry> state(int n, std::uint64_t sequence) {
  std::vector<Entry> entries;
  for (int k = 0; k < 12; ++k)
    entries.push_back({{FactKind::zone_ladder, "zone-" + std::to_string(k)},
                       {"", {{"share", n}}, {{"next", instant(n + 5)}}},
                       instant(n),
                       ++sequence,
                       false});
  return entries;
}
// The state that was read; -1: blank, -2: no state that ever was.
int read_state(const Loaded& l) {
  if (!l.empty_reason.empty()) return -1;
  if (l.entries.size() != 12) return -2;
  const double n = l.entries[0].fact.figures.contains("share") ? l.entries[0].fact.figures.at("share") : -2;
  for (const auto& e : l.entries)
    if (!e.fact.figures.contains("share") || e.fact.figures.at("share") != n) return -2;
  return static_cast<int>(n);
}

struct Story {
  int written = -1, synced = -1;  // the newest state that was written, and that a sync came back for
};
void live(Disk& disk, const StoreSettings& s, Story& story) {
  std::uint64_t sequence = 0;
  story.written = 0;
  Store store{disk, s, at(0), state(0, sequence)};
  story.synced = 0;
  for (int n = 1; n <= 8; ++n) {
    sequence += 12;
    story.written = n;
    store.write(at(n), state(n, sequence));
    if (n % 2 == 0) store.sync(), story.synced = n;
    if (n == 5) store.snapshot(at(n), state(n, sequence)), story.synced = n;
  }
}

// Damage over all crash points and many seeds: states that never were, and states older than a sync.
std::pair<int, int> damage(StoreSettings s, bool flips, int seeds) {
  int never = 0, older = 0;
  SimDisk whole;
  Story all;
  live(whole, s, all);
  EXPECT_EQ(read_state(load(whole, s, at(9))), 8);
  for (std::size_t point = 1; point <= whole.ops; ++point)
    for (int seed = 0; seed < seeds; ++seed) {
      std::mt19937 chance{static_cast<std::uint32_t>(1000 * point + static_cast<std::size_t>(seed))};
      SimDisk disk;
      disk.crash_at = point;
      Story story;
      try {
        live(disk, s, story);
      } catch (const SimDisk::Crash&) {
      }
      disk.crash_at = 0;
      disk.crash(chance);
      if (flips && !disk.list().empty()) disk.flip(chance);
      const int n = read_state(load(disk, s, at(20)));
      if (n == -2 || n > story.written) ++never;
      if (!flips && n < story.synced) ++older;
    }
  return {never, older};
}

TEST(Store, AtEveryCrashPointWhatIsReadWasWrittenAndIsNoOlderThanTheLastSync) {
  StoreSettings s;
  s.owner = "pwani-1";
  const auto [never, older] = damage(s, false, 60);
  EXPECT_EQ(never, 0);
  EXPECT_EQ(older, 0);
  s.key = MacKey{1, 2, 3};
  const auto [never_with_key, older_with_key] = damage(s, false, 20);
  EXPECT_EQ(never_with_key + older_with_key, 0);
}

TEST(Store, ABitThatFlippedIsNeverTrusted) {
  StoreSettings s;
  s.owner = "pwani-1";
  EXPECT_EQ(damage(s, true, 60).first, 0);
}

TEST(Store, WithTheSyncOrTheChecksumOffTheDamageIsFound) {
  StoreSettings s;
  s.owner = "pwani-1", s.sync = false;
  EXPECT_GT(damage(s, false, 30).second, 0) << "what a sync had come back for is lost";
  s.sync = true, s.check = false;
  EXPECT_GT(damage(s, true, 60).first, 0) << "a state that never was";
}

TEST(Store, ADiskThatIsFullEndsItAndWhatWasWrittenStays) {
  StoreSettings s;
  s.owner = "pwani-1";
  SimDisk disk;
  disk.fail_at = 9;
  Story story;
  EXPECT_THROW(live(disk, s, story), DiskError);
  const int n = read_state(load(disk, s, at(9)));
  EXPECT_GE(n, story.synced);
}

TEST(Store, AnothersFileAnOldOneAndOneOfAWrongClockAreNotTakenForFresh) {
  StoreSettings s;
  s.owner = "pwani-1";
  SimDisk disk;
  Story story;
  live(disk, s, story);
  StoreSettings other = s;
  other.owner = "pwani-2";
  EXPECT_NE(load(disk, other, at(9)).empty_reason, "");
  StoreSettings keyed = s;
  keyed.key = MacKey{9};
  EXPECT_NE(load(disk, keyed, at(9)).empty_reason, "") << "a key is configured, and the file has no MAC";
  // A week and another boot later.
  ClockReading later{"another", 5'000'000, at(0).wall_us + 7LL * 86400 * 1'000'000};
  const auto week = load(disk, s, later);
  ASSERT_TRUE(week.confirmed_at);
  const auto believed = recovery::select_trusted(week.entries, *week.confirmed_at,
                                                 Instant{} + Span::micros(later.monotonic_us));
  EXPECT_TRUE(believed.applicable.empty());
  // The wall clock stands before the moment of writing: nobody can tell the age.
  const auto back = load(disk, s, {"another", 5'000'000, at(0).wall_us - 3'600'000'000});
  EXPECT_FALSE(back.confirmed_at);
  EXPECT_NE(back.age.clock_anomaly, "");
  // Within one boot a moved wall clock changes nothing.
  ClockReading moved = at(12);
  moved.wall_us += 86'400'000'000;
  const auto same = load(disk, s, moved);
  EXPECT_NEAR(same.age.elapsed->seconds(), 4, 0.01);
  EXPECT_NE(same.age.clock_anomaly, "");
  // Times come over to the reader's clock.
  EXPECT_EQ(load(disk, s, at(20)).entries[0].fact.times.at("next"), instant(13));
}

TEST(Store, RealProcessesKilledWhileTheyWriteLeaveAStateThatWas) {
  std::string text = (std::filesystem::temp_directory_path() / "gorsemount-store-XXXXXX").string();
  ASSERT_NE(mkdtemp(text.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1", s.snapshot_threshold_bytes = 4096;
  std::mt19937 chance{17};
  int last = -1, seen = 0;
  for (int round = 0; round < 500; ++round) {
    int ready[2];
    ASSERT_EQ(pipe(ready), 0);
    const pid_t child = fork();
    if (child == 0) {
      auto disk = open_directory(text);
      Store store{*disk, s, at(0), state(0, 0)};
      for (int n = 1;; ++n) {
        store.write(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
        if (n == 1 && ::write(ready[1], "w", 1) != 1) _exit(1);
        if (n % 8 == 0) store.sync();
        if (store.snapshot_due()) store.snapshot(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
      }
    }
    // However slow the machine is: struck once it writes.
    close(ready[1]);
    char byte = 0;
    ASSERT_EQ(::read(ready[0], &byte, 1), 1);
    usleep(chance() % 5000);
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    close(ready[0]);
    const auto disk = open_directory(text, true);
    last = read_state(load(*disk, s, at(1e6)));
    ASSERT_GE(last, 0) << "round " << round;
    seen += last > 0 ? 1 : 0;
  }
  EXPECT_EQ(seen, 500) << "each had written";
  EXPECT_THROW(
      {
        const auto one = open_directory(text);
        const auto two = open_directory(text);
      },
      DiskError);
  std::filesystem::remove_all(text);
}

// A folder with two generations; returns the older one's name.
std::string two_generations(Disk& disk, const StoreSettings& s) {
  Store store{disk, s, at(0), state(0, 0)};
  for (int n = 1; n < 60; ++n) store.write(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
  store.snapshot(at(60), state(60, 720));
  store.write(at(61), state(61, 732));
  return older_generation(disk);
}

TEST(Verification, InSlicesOfAnySizeFindsWhatOneLookFinds) {
  std::string text = (std::filesystem::temp_directory_path() / "gorsemount-verify-XXXXXX").string();
  ASSERT_NE(mkdtemp(text.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1", s.key = MacKey{7};
  auto disk = open_directory(text);
  const std::string older = two_generations(*disk, s);
  ASSERT_FALSE(older.empty());
  const std::string good = disk->read(older);
  std::mt19937 chance{9};
  for (int round = 0; round < 200; ++round) {
    std::string bytes = good;
    if (round % 4 == 1) bytes[chance() % bytes.size()] ^= static_cast<char>(1U << chance() % 8);
    if (round % 4 == 2) bytes.resize(chance() % bytes.size());
    disk->create("x.store"), disk->append("x.store", bytes);
    Verification whole{*disk, s, "x.store"}, slices{*disk, s, "x.store"};
    whole.slice(good.size() + 1);
    ASSERT_TRUE(whole.done());
    const std::size_t slice = 1 + chance() % 700;
    while (!slices.done()) slices.slice(slice);
    EXPECT_EQ(slices.result().fault, whole.result().fault) << round;
    EXPECT_EQ(slices.result().valid_bytes, whole.result().valid_bytes);
    EXPECT_EQ(slices.result().records, whole.result().records);
    if (round % 4 != 2) {
      EXPECT_EQ(whole.result().fault.empty(), round % 4 != 1) << whole.result().fault;
    }
  }
  Verification gone{*disk, s, "x.store"};
  gone.slice(100);
  disk->remove("x.store");
  gone.slice(100);
  EXPECT_TRUE(gone.done());
  EXPECT_TRUE(gone.result().fault.empty()) << "compacted away meanwhile";
  disk.reset();
  std::filesystem::remove_all(text);
}

// A disk on which reading hangs: what is promised is written and synced all the same.
class HangsOnReading : public Disk {
 public:
  explicit HangsOnReading(std::unique_ptr<Disk> inner) : inner_{std::move(inner)} {}
  void create(const std::string& name) override { inner_->create(name); }
  void append(const std::string& name, std::string_view bytes) override { inner_->append(name, bytes); }
  void sync(const std::string& name) override { inner_->sync(name); }
  void rename(const std::string& from, const std::string& to) override { inner_->rename(from, to); }
  void sync_directory() override { inner_->sync_directory(); }
  void remove(const std::string& name) override { inner_->remove(name); }
  std::vector<std::string> list() override { return inner_->list(); }
  std::string read(const std::string& name) override { return inner_->read(name); }
  std::string read_range(const std::string& name, std::size_t from, std::size_t most) override {
    if (hangs) hung = true;
    while (hangs) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return inner_->read_range(name, from, most);
  }
  std::atomic<bool> hangs{true}, hung{false};

 private:
  std::unique_ptr<Disk> inner_;
};

TEST(StoreWriter, WritesOnWhileACheckHangs) {
  std::string text = (std::filesystem::temp_directory_path() / "gorsemount-keeper-XXXXXX").string();
  ASSERT_NE(mkdtemp(text.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1";
  {
    auto first = open_directory(text);
    two_generations(*first, s);
  }
  // Time runs a hundred times as fast for the tasks: a check is due within a second.
  const Instant begin = net::monotonic_now();
  const auto fast = [begin] { return Instant{} + (net::monotonic_now() - begin) * 100; };
  background::Executor background{fast};
  auto disk = std::make_unique<HangsOnReading>(open_directory(text));
  HangsOnReading& held = *disk;
  {
    StoreWriter keeper{
        background,
        std::move(disk),
        s,
        state(61, 732),
        [&] { return at((fast() - Instant{}).seconds() + 62); },
        [](const std::string& event, const std::string& what) { ADD_FAILURE() << event << " " << what; }};
    while (!held.hung) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto before = keeper.counters();
    while (keeper.counters().syncs < before.syncs + 4)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(keeper.counters().checked, 0U);
    held.hangs = false;
    while (keeper.counters().checked == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::filesystem::remove_all(text);
}

}  // namespace
}  // namespace gorsemount::store
