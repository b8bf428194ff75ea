// The store on a disk with lost, torn and corrupted writes: it reads back only a state that was written, and
// none older than the last sync. With syncs or checksums disabled the same test must detect damage.
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

// Keeps durable data apart from writes since the last sync. A crash keeps any subset of those, torn at any
// byte and in any order; the same holds for renames.
class SimulatedDisk : public Disk {
 public:
  void create(const std::string& name) override { count_operation(), files_[name] = {}; }
  void append(const std::string& name, std::string_view bytes) override {
    count_operation();
    if (fail_at_operation != 0 && operations >= fail_at_operation) {
      files_[name].unsynced.emplace_back(
          bytes.substr(0, bytes.size() / 2));  // a short write followed by an error
      throw DiskError{"no space left"};
    }
    files_[name].unsynced.emplace_back(bytes);
  }
  void sync(const std::string& name) override {
    count_operation();
    auto& f = files_[name];
    for (const auto& part : f.unsynced) f.durable += part;
    f.unsynced.clear();
  }
  void rename(const std::string& from, const std::string& to) override {
    count_operation();
    files_[to] = files_[from], files_.erase(from);
    renames_.emplace_back(from, to);
  }
  void sync_directory() override { count_operation(), renames_.clear(); }
  void remove(const std::string& name) override { count_operation(), files_.erase(name); }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, f] : files_) names.push_back(name);
    return names;
  }
  std::string read(const std::string& name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) throw DiskError{name};
    std::string all = it->second.durable;
    for (const auto& part : it->second.unsynced) all += part;
    return all;
  }
  void crash(std::mt19937& chance) {
    for (auto& [name, f] : files_) {
      bool gap = false;
      for (auto& part : f.unsynced) {
        switch (chance() % 4) {
          case 0:
            f.durable += gap ? std::string(part.size(), '\0') : part;
            break;
          case 1:
            f.durable += part.substr(0, chance() % (part.size() + 1)), gap = true;
            break;  // torn
          case 2:
            f.durable += std::string(part.size(), '\0');
            break;  // a later write reached the disk first
          default:
            gap = true;
            break;
        }
        if (gap && chance() % 2 == 0) break;
      }
      f.unsynced.clear();
    }
    for (auto it = renames_.rbegin(); it != renames_.rend(); ++it)
      if (chance() % 2 == 0 && files_.contains(it->second))
        files_[it->first] = files_[it->second], files_.erase(it->second);
    renames_.clear();
  }
  void flip_bit(std::mt19937& chance) {
    auto it = files_.begin();
    std::advance(it, chance() % files_.size());
    if (!it->second.durable.empty())
      it->second.durable[chance() % it->second.durable.size()] ^= static_cast<char>(1U << chance() % 8);
  }

  struct Crash {};
  std::size_t operations = 0, crash_at_operation = 0, fail_at_operation = 0;

 private:
  struct File {
    std::string durable;
    std::vector<std::string> unsynced;
  };
  void count_operation() {
    ++operations;
    if (operations == crash_at_operation) throw Crash{};
  }
  std::map<std::string, File> files_;
  std::vector<std::pair<std::string, std::string>> renames_;
};

ClockReading at(double s) {
  return {"boot", static_cast<std::int64_t>(s * 1e6), static_cast<std::int64_t>((1e6 + s) * 1e6)};
}
Instant instant(double s) { return Instant::at_seconds(s); }

// State `n`: every fact has the value n.
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
// The state that was read; -1: none, -2: a state that was never written.
int read_state(const LoadedFacts& l) {
  if (!l.empty_reason.empty()) return -1;
  if (l.entries.size() != 12) return -2;
  const double n = l.entries[0].fact.figures.contains("share") ? l.entries[0].fact.figures.at("share") : -2;
  for (const auto& e : l.entries)
    if (!e.fact.figures.contains("share") || e.fact.figures.at("share") != n) return -2;
  return static_cast<int>(n);
}

struct History {
  int written = -1, synced = -1;  // the newest state written, and the newest covered by a completed sync
};
void write_states(Disk& disk, const StoreSettings& s, History& history) {
  std::uint64_t sequence = 0;
  history.written = 0;
  Store store{disk, s, at(0), state(0, sequence)};
  history.synced = 0;
  for (int n = 1; n <= 8; ++n) {
    sequence += 12;
    history.written = n;
    store.write(at(n), state(n, sequence));
    if (n % 2 == 0) store.sync(), history.synced = n;
    if (n == 5) store.snapshot(at(n), state(n, sequence)), history.synced = n;
  }
}

// Counts damage over all crash points and many seeds: states never written, and states older than a sync.
std::pair<int, int> count_damage(StoreSettings s, bool flip_bits, int seeds) {
  int never_written = 0, older_than_sync = 0;
  SimulatedDisk whole;
  History full_history;
  write_states(whole, s, full_history);
  EXPECT_EQ(read_state(load(whole, s, at(9))), 8);
  for (std::size_t point = 1; point <= whole.operations; ++point)
    for (int seed = 0; seed < seeds; ++seed) {
      std::mt19937 chance{static_cast<std::uint32_t>(1000 * point + static_cast<std::size_t>(seed))};
      SimulatedDisk disk;
      disk.crash_at_operation = point;
      History history;
      try {
        write_states(disk, s, history);
      } catch (const SimulatedDisk::Crash&) {
      }
      disk.crash_at_operation = 0;
      disk.crash(chance);
      if (flip_bits && !disk.list().empty()) disk.flip_bit(chance);
      const int n = read_state(load(disk, s, at(20)));
      if (n == -2 || n > history.written) ++never_written;
      if (!flip_bits && n < history.synced) ++older_than_sync;
    }
  return {never_written, older_than_sync};
}

TEST(Store, ReadsBackAStateNoOlderThanTheLastSyncAtEveryCrashPoint) {
  StoreSettings s;
  s.owner = "pwani-1";
  const auto [never_written, older_than_sync] = count_damage(s, false, 60);
  EXPECT_EQ(never_written, 0);
  EXPECT_EQ(older_than_sync, 0);
  s.key = MacKey{1, 2, 3};
  const auto [never_written_with_key, older_with_key] = count_damage(s, false, 20);
  EXPECT_EQ(never_written_with_key + older_with_key, 0);
}

TEST(Store, DetectsEveryFlippedBit) {
  StoreSettings s;
  s.owner = "pwani-1";
  EXPECT_EQ(count_damage(s, true, 60).first, 0);
}

TEST(Store, TheTestDetectsDamageWithSyncsOrChecksumsDisabled) {
  StoreSettings s;
  s.owner = "pwani-1", s.sync = false;
  EXPECT_GT(count_damage(s, false, 30).second, 0) << "synced data is lost";
  s.sync = true, s.check = false;
  EXPECT_GT(count_damage(s, true, 60).first, 0) << "a state that was never written";
}

TEST(Store, AFullDiskKeepsWhatWasSynced) {
  StoreSettings s;
  s.owner = "pwani-1";
  SimulatedDisk disk;
  disk.fail_at_operation = 9;
  History history;
  EXPECT_THROW(write_states(disk, s, history), DiskError);
  const int n = read_state(load(disk, s, at(9)));
  EXPECT_GE(n, history.synced);
}

TEST(Store, RejectsFilesOfOtherOwnersAndDetectsStaleOnesAndClockChanges) {
  StoreSettings s;
  s.owner = "pwani-1";
  SimulatedDisk disk;
  History history;
  write_states(disk, s, history);
  StoreSettings other = s;
  other.owner = "pwani-2";
  EXPECT_NE(load(disk, other, at(9)).empty_reason, "");
  StoreSettings keyed = s;
  keyed.key = MacKey{9};
  EXPECT_NE(load(disk, keyed, at(9)).empty_reason, "") << "a key is configured, and the file has no MAC";
  // One week later, after a reboot.
  ClockReading later{"another", 5'000'000, at(0).wall_us + 7LL * 86400 * 1'000'000};
  const auto week = load(disk, s, later);
  ASSERT_TRUE(week.confirmed_at);
  const auto trusted = recovery::select_trusted(week.entries, *week.confirmed_at,
                                                Instant{} + Span::micros(later.monotonic_us));
  EXPECT_TRUE(trusted.applicable.empty());
  // The wall clock is earlier than the time of writing: the age is unknown.
  const auto earlier = load(disk, s, {"another", 5'000'000, at(0).wall_us - 3'600'000'000});
  EXPECT_FALSE(earlier.confirmed_at);
  EXPECT_NE(earlier.age.clock_anomaly, "");
  // Within one boot the age does not depend on the wall clock.
  ClockReading moved = at(12);
  moved.wall_us += 86'400'000'000;
  const auto same_boot = load(disk, s, moved);
  EXPECT_NEAR(same_boot.age.elapsed->seconds(), 4, 0.01);
  EXPECT_NE(same_boot.age.clock_anomaly, "");
  // Times are converted to the reader's clock.
  EXPECT_EQ(load(disk, s, at(20)).entries[0].fact.times.at("next"), instant(13));
}

TEST(Store, KilledProcessesLeaveAValidState) {
  std::string path = (std::filesystem::temp_directory_path() / "gorsemount-store-XXXXXX").string();
  ASSERT_NE(mkdtemp(path.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1", s.snapshot_threshold_bytes = 4096;
  std::mt19937 chance{17};
  int last = -1, rounds_with_writes = 0;
  for (int round = 0; round < 500; ++round) {
    int ready[2];
    ASSERT_EQ(pipe(ready), 0);
    const pid_t child = fork();
    if (child == 0) {
      auto disk = open_directory(path);
      Store store{*disk, s, at(0), state(0, 0)};
      for (int n = 1;; ++n) {
        store.write(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
        if (n == 1 && ::write(ready[1], "w", 1) != 1) _exit(1);
        if (n % 8 == 0) store.sync();
        if (store.snapshot_due()) store.snapshot(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
      }
    }
    // Killed only after its first write, however slow the machine is.
    close(ready[1]);
    char byte = 0;
    ASSERT_EQ(::read(ready[0], &byte, 1), 1);
    usleep(chance() % 5000);
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    close(ready[0]);
    const auto disk = open_directory(path, true);
    last = read_state(load(*disk, s, at(1e6)));
    ASSERT_GE(last, 0) << "round " << round;
    rounds_with_writes += last > 0 ? 1 : 0;
  }
  EXPECT_EQ(rounds_with_writes, 500) << "each process had written";
  EXPECT_THROW(
      {
        const auto one = open_directory(path);
        const auto two = open_directory(path);
      },
      DiskError);
  std::filesystem::remove_all(path);
}

// Creates two generations; returns the file name of the older one.
std::string write_two_generations(Disk& disk, const StoreSettings& s) {
  Store store{disk, s, at(0), state(0, 0)};
  for (int n = 1; n < 60; ++n) store.write(at(n), state(n, static_cast<std::uint64_t>(n) * 12));
  store.snapshot(at(60), state(60, 720));
  store.write(at(61), state(61, 732));
  return older_generation(disk);
}

TEST(FileVerifier, FindsTheSameFaultsInSlicesOfAnySize) {
  std::string path = (std::filesystem::temp_directory_path() / "gorsemount-verify-XXXXXX").string();
  ASSERT_NE(mkdtemp(path.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1", s.key = MacKey{7};
  auto disk = open_directory(path);
  const std::string older = write_two_generations(*disk, s);
  ASSERT_FALSE(older.empty());
  const std::string good = disk->read(older);
  std::mt19937 chance{9};
  for (int round = 0; round < 200; ++round) {
    std::string bytes = good;
    if (round % 4 == 1) bytes[chance() % bytes.size()] ^= static_cast<char>(1U << chance() % 8);
    if (round % 4 == 2) bytes.resize(chance() % bytes.size());
    disk->create("x.store"), disk->append("x.store", bytes);
    FileVerifier whole{*disk, s, "x.store"}, slices{*disk, s, "x.store"};
    whole.read_slice(good.size() + 1);
    ASSERT_TRUE(whole.done());
    const std::size_t slice = 1 + chance() % 700;
    while (!slices.done()) slices.read_slice(slice);
    EXPECT_EQ(slices.result().fault, whole.result().fault) << round;
    EXPECT_EQ(slices.result().valid_bytes, whole.result().valid_bytes);
    EXPECT_EQ(slices.result().records, whole.result().records);
    if (round % 4 != 2) {
      EXPECT_EQ(whole.result().fault.empty(), round % 4 != 1) << whole.result().fault;
    }
  }
  FileVerifier gone{*disk, s, "x.store"};
  gone.read_slice(100);
  disk->remove("x.store");
  gone.read_slice(100);
  EXPECT_TRUE(gone.done());
  EXPECT_TRUE(gone.result().fault.empty()) << "the file was removed meanwhile";
  disk.reset();
  std::filesystem::remove_all(path);
}

// A disk whose reads hang; writes and syncs must continue.
class DiskWithHangingReads : public Disk {
 public:
  explicit DiskWithHangingReads(std::unique_ptr<Disk> inner) : inner_{std::move(inner)} {}
  void create(const std::string& name) override { inner_->create(name); }
  void append(const std::string& name, std::string_view bytes) override { inner_->append(name, bytes); }
  void sync(const std::string& name) override { inner_->sync(name); }
  void rename(const std::string& from, const std::string& to) override { inner_->rename(from, to); }
  void sync_directory() override { inner_->sync_directory(); }
  void remove(const std::string& name) override { inner_->remove(name); }
  std::vector<std::string> list() override { return inner_->list(); }
  std::string read(const std::string& name) override { return inner_->read(name); }
  std::string read_range(const std::string& name, std::size_t offset, std::size_t max_bytes) override {
    if (hangs) hung = true;
    while (hangs) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return inner_->read_range(name, offset, max_bytes);
  }
  std::atomic<bool> hangs{true}, hung{false};

 private:
  std::unique_ptr<Disk> inner_;
};

TEST(StoreWriter, KeepsWritingWhileVerificationHangs) {
  std::string path = (std::filesystem::temp_directory_path() / "gorsemount-keeper-XXXXXX").string();
  ASSERT_NE(mkdtemp(path.data()), nullptr);
  StoreSettings s;
  s.owner = "pwani-1";
  {
    auto first = open_directory(path);
    write_two_generations(*first, s);
  }
  // Time runs a hundred times faster for the tasks, so a verification is due within a second.
  const Instant begin = net::monotonic_now();
  const auto fast = [begin] { return Instant{} + (net::monotonic_now() - begin) * 100; };
  background::Executor executor{fast};
  auto disk = std::make_unique<DiskWithHangingReads>(open_directory(path));
  DiskWithHangingReads& hanging_disk = *disk;
  {
    StoreWriter writer{
        executor,
        std::move(disk),
        s,
        state(61, 732),
        [&] { return at((fast() - Instant{}).seconds() + 62); },
        [](const std::string& event, const std::string& detail) { ADD_FAILURE() << event << " " << detail; }};
    while (!hanging_disk.hung) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto before = writer.counters();
    while (writer.counters().syncs < before.syncs + 4)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(writer.counters().verifications, 0U);
    hanging_disk.hangs = false;
    while (writer.counters().verifications == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace gorsemount::store
