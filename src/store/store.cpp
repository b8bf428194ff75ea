#include "store/store.hpp"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "recovery/codec.hpp"

namespace gorsemount::store {

using recovery::ClockReading;
using recovery::Entry;

namespace {

// magic u32 | schema u16 | kind u8 | mac u8 | length u32 | sequence u64 | wall i64 | mono i64 | payload |
// xxh3 u64 | [MAC 32]
constexpr std::uint32_t kMagic = 0x534d4f47;
constexpr std::size_t kHead = 4 + 2 + 1 + 1 + 4 + 8 + 8 + 8, kSum = 8, kMac = 32;
constexpr std::size_t kPayloadMost = 64U << 20U;
constexpr std::size_t kBatch = 512;  // facts in a record of a snapshot: a torn write costs no more
constexpr std::size_t kGenerations = 2;
constexpr std::size_t kReadAtOnce = 4U << 20U;  // where nobody waits
enum Kind : std::uint8_t { identity = 1, facts = 2, snapshot_ends = 3, changes = 4 };

template <class Int>
void put(std::string& out, Int v) {
  out.append(reinterpret_cast<const char*>(&v), sizeof v);  // little-endian machines only, as the schema says
}
template <class Int>
Int get(std::string_view in, std::size_t at) {
  Int v{};
  std::memcpy(&v, in.data() + at, sizeof v);
  return v;
}

struct Record {
  std::uint8_t kind = 0;
  std::uint16_t schema = 0;
  std::uint64_t sequence = 0;
  ClockReading at;
  std::string_view payload;
  std::size_t size = 0;
};

class Walk {
 public:
  Walk(std::string_view bytes, const StoreSettings& settings) : bytes_{bytes}, s_{&settings} {}
  // The next record; empty at the end or at the first that can't be believed, which fault() names then.
  std::optional<Record> next() {
    const std::string_view left = bytes_.substr(at_);
    short_ = false;
    if (left.empty()) return {};
    const auto bad = [&](const std::string& what) {
      fault_ = "byte " + std::to_string(before_ + at_) + ": " + what;
      return std::nullopt;
    };
    short_ = left.size() < kHead;
    if (short_) return bad("cut off within a record's head");
    if (get<std::uint32_t>(left, 0) != kMagic) return bad("no record begins here");
    Record r;
    r.schema = get<std::uint16_t>(left, 4), r.kind = get<std::uint8_t>(left, 6);
    const bool mac = get<std::uint8_t>(left, 7) != 0;
    const std::size_t length = get<std::uint32_t>(left, 8);
    r.sequence = get<std::uint64_t>(left, 12), r.at.wall_us = get<std::int64_t>(left, 20),
    r.at.monotonic_us = get<std::int64_t>(left, 28);
    if (length > kPayloadMost) return bad("a record that announces " + std::to_string(length) + " bytes");
    r.size = kHead + length + kSum + (mac ? kMac : 0);
    short_ = left.size() < r.size;
    if (short_) return bad("cut off within a record");
    if (s_->check && XXH3_64bits(left.data(), kHead + length) != get<std::uint64_t>(left, kHead + length))
      return bad("wrong checksum");
    if (r.schema > kSchema)
      return bad("schema " + std::to_string(r.schema) + "; this program reads up to " +
                 std::to_string(kSchema));
    if (r.schema + 1 < kSchema) return bad("schema " + std::to_string(r.schema) + " is too old");
    if (s_->check && r.sequence != sequence_ + 1)
      return bad("record " + std::to_string(r.sequence) + " where " + std::to_string(sequence_ + 1) +
                 " was due");
    if (s_->key) {
      if (!mac) return bad("no MAC, and a key is configured");
      std::string text{reinterpret_cast<const char*>(chain_.data()), chain_.size()};
      text.append(left.data(), kHead + length);
      if (crypto_auth_hmacsha512256_verify(
              reinterpret_cast<const std::uint8_t*>(left.data() + kHead + length + kSum),
              reinterpret_cast<const std::uint8_t*>(text.data()), text.size(), s_->key->data()) != 0)
        return bad("wrong MAC");
      std::memcpy(chain_.data(), left.data() + kHead + length + kSum, kMac);
    }
    sequence_ = r.sequence;
    r.payload = left.substr(kHead, length);
    at_ += r.size;
    return r;
  }
  [[nodiscard]] const std::string& fault() const { return fault_; }
  [[nodiscard]] std::size_t at() const { return before_ + at_; }
  // Whether the fault is only that the bytes end; then more of them may follow.
  [[nodiscard]] bool is_short() const { return short_; }
  // Goes on with bytes that begin where the last good record ended.
  void go_on(std::string_view bytes) { before_ += at_, at_ = 0, bytes_ = bytes, fault_.clear(); }

 private:
  std::string_view bytes_;
  const StoreSettings* s_;
  std::size_t at_ = 0, before_ = 0;
  bool short_ = false;
  std::uint64_t sequence_ = 0;
  std::array<std::uint8_t, 32> chain_{};
  std::string fault_;
};

std::vector<std::uint64_t> generations(Disk& disk) {
  std::vector<std::uint64_t> all;
  for (const auto& name : disk.list()) {
    const auto dot = name.find('.');
    if (dot == std::string::npos || dot == 0 || dot > 18 || name.substr(dot) != ".store") continue;
    if (name.find_first_not_of("0123456789") == dot) all.push_back(std::stoull(name));
  }
  std::sort(all.rbegin(), all.rend());
  return all;
}

}  // namespace

Loaded load(Disk& disk, const StoreSettings& s, const ClockReading& now) {
  Loaded result;
  if (s.key && sodium_init() < 0) throw DiskError{"libsodium can't start"};
  std::vector<std::uint64_t> all;
  try {
    all = generations(disk);
  } catch (const DiskError& fault) {
    result.empty_reason = fault.what();
    return result;
  }
  for (const auto generation : all) {
    const std::string file = std::to_string(generation) + ".store";
    std::string bytes;
    try {
      bytes = disk.read(file);
    } catch (const DiskError& fault) {
      result.faults.emplace_back(fault.what());
      continue;
    }
    Walk walk{bytes, s};
    recovery::FactLog known;
    ClockReading last;
    bool whole = false, wrong = false;
    std::string boot, refused;
    while (const auto r = walk.next()) {
      last = r->at;
      if (r->kind == identity) {
        const auto zero = r->payload.find('\0');
        const std::string owner{r->payload.substr(0, zero)};
        boot = zero == std::string_view::npos ? "" : std::string{r->payload.substr(zero + 1)};
        if (!s.owner.empty() && owner != s.owner) {  // empty: a person looks
          refused = "it is of '" + owner + "', not of '" + s.owner + "'";
          break;
        }
      } else if (r->kind == facts || r->kind == changes) {
        auto entries = recovery::decode(r->payload, Instant{} + Span::micros(r->at.monotonic_us));
        if (const auto* fault = std::get_if<std::string>(&entries)) {
          result.faults.push_back(file + ": before byte " + std::to_string(walk.at()) + ": " + *fault);
          wrong = true;
          break;
        }
        for (auto& e : std::get<std::vector<Entry>>(entries)) known.put(std::move(e));
      } else if (r->kind == snapshot_ends) {
        whole = true;
      }
    }
    if (!walk.fault().empty()) result.faults.push_back(file + ": " + walk.fault());
    if (!refused.empty()) {
      result.faults.push_back(file + ": " + refused);
      continue;
    }
    // A snapshot that is not whole is nobody's state; a log's torn end is what a loss of power leaves.
    if (!whole || wrong) {
      if (!whole) result.faults.push_back(file + ": its snapshot is not whole");
      continue;
    }
    last.boot_id = boot;
    result.generation = generation;
    result.age = recovery::age_of(last, now);
    // From the writer's clock to the reader's.
    const std::int64_t age = result.age.elapsed ? result.age.elapsed->micros() : 0;
    const Span shift = Span::micros(now.monotonic_us - age - last.monotonic_us);
    if (result.age.elapsed) result.confirmed_at = Instant{} + Span::micros(now.monotonic_us - age);
    for (auto e : known.after(0)) {
      if (e.deleted) continue;
      e.learned = e.learned + shift;
      for (auto& [name, time] : e.fact.times) time = time + shift;
      result.entries.push_back(std::move(e));
    }
    return result;
  }
  result.empty_reason = all.empty() ? "nothing was written yet" : "no generation can be believed";
  return result;
}

std::string Store::name(std::uint64_t generation) const { return std::to_string(generation) + ".store"; }

void Store::record(std::string& out, std::uint8_t kind, const ClockReading& now, std::string_view payload) {
  std::string r;
  put(r, kMagic), put(r, kSchema), put(r, kind), put(r, static_cast<std::uint8_t>(s_.key ? 1 : 0));
  put(r, static_cast<std::uint32_t>(payload.size())), put(r, ++sequence_), put(r, now.wall_us),
      put(r, now.monotonic_us);
  r += payload;
  const std::uint64_t sum = XXH3_64bits(r.data(), r.size());
  if (s_.key) {
    std::string text{reinterpret_cast<const char*>(chain_.data()), chain_.size()};
    text += r;
    crypto_auth_hmacsha512256(chain_.data(), reinterpret_cast<const std::uint8_t*>(text.data()), text.size(),
                              s_.key->data());
  }
  put(r, sum);
  if (s_.key) r.append(reinterpret_cast<const char*>(chain_.data()), chain_.size());
  out += r;
}

Store::Store(Disk& disk, StoreSettings settings, const ClockReading& now, const std::vector<Entry>& entries)
    : disk_{&disk}, s_{std::move(settings)} {
  if (s_.key && sodium_init() < 0) throw DiskError{"libsodium can't start"};
  const auto all = generations(disk);
  generation_ = all.empty() ? 0 : all.front();
  for (const auto& left : disk.list())
    if (left.ends_with(".new")) disk.remove(left);  // of a process that died while it wrote
  snapshot(now, entries);
}

void Store::snapshot(const ClockReading& now, const std::vector<Entry>& entries) {
  const std::uint64_t generation = generation_ + 1;
  const std::string fresh = std::to_string(generation) + ".new";
  sequence_ = 0, chain_ = {};
  std::string bytes;
  record(bytes, identity, now, s_.owner + std::string(1, '\0') + now.boot_id);
  for (std::size_t k = 0; k < entries.size(); k += kBatch)
    record(bytes, facts, now,
           recovery::encode(
               {entries.begin() + static_cast<std::ptrdiff_t>(k),
                entries.begin() + static_cast<std::ptrdiff_t>(std::min(entries.size(), k + kBatch))},
               Instant{} + Span::micros(now.monotonic_us)));
  record(bytes, snapshot_ends, now, {});
  disk_->create(fresh);
  disk_->append(fresh, bytes);
  if (s_.sync) disk_->sync(fresh), ++syncs_;
  disk_->rename(fresh, name(generation));
  if (s_.sync) disk_->sync_directory(), ++syncs_;
  generation_ = generation, behind_ = 0, of_snapshot_ = bytes.size(), bytes_ += bytes.size();
  // Only now may the oldest go.
  const auto all = generations(*disk_);
  for (std::size_t k = kGenerations; k < all.size(); ++k) disk_->remove(name(all[k]));
}

void Store::write(const ClockReading& now, const std::vector<Entry>& entries) {
  std::string bytes;
  record(bytes, changes, now, recovery::encode(entries, Instant{} + Span::micros(now.monotonic_us)));
  disk_->append(name(generation_), bytes);
  behind_ += bytes.size(), bytes_ += bytes.size();
}

void Store::sync() {
  if (!s_.sync) return;
  disk_->sync(name(generation_));
  ++syncs_;
}

bool Store::snapshot_due() const { return behind_ > std::max(s_.snapshot_threshold_bytes, of_snapshot_); }

struct Verification::State {
  State(Disk& where, const StoreSettings& settings) : disk{where}, s{settings} {}
  Disk& disk;
  StoreSettings s;
  Walk walk{{}, s};
  Checked checked;
  std::string bytes;  // read, and not yet walked over
  bool done = false;
};

Verification::Verification(Disk& disk, const StoreSettings& settings, std::string file)
    : state_{std::make_unique<State>(disk, settings)} {
  state_->checked.file = std::move(file);
  state_->done = state_->checked.file.empty();
}
Verification::~Verification() = default;
bool Verification::done() const { return state_->done; }
Checked Verification::result() const { return state_->checked; }

std::size_t Verification::slice(std::size_t most) {
  State& v = *state_;
  if (v.done) return 0;
  std::string more;
  try {
    more = v.disk.read_range(v.checked.file, v.checked.bytes, most);
  } catch (const DiskError& fault) {
    const auto names = v.disk.list();
    if (std::find(names.begin(), names.end(), v.checked.file) != names.end()) v.checked.fault = fault.what();
    v.done = true;
    return 0;
  }
  v.bytes.erase(0, v.walk.at() - (v.checked.bytes - v.bytes.size()));
  v.bytes += more, v.checked.bytes += more.size();
  v.walk.go_on(v.bytes);
  while (const auto r = v.walk.next()) {
    ++v.checked.records;
    v.checked.snapshot_complete = v.checked.snapshot_complete || r->kind == snapshot_ends;
    if (r->kind != facts && r->kind != changes) continue;
    if (const auto entries = recovery::decode(r->payload, Instant{});
        std::holds_alternative<std::string>(entries) && v.checked.fault.empty())
      v.checked.fault = "before byte " + std::to_string(v.walk.at()) + ": " + std::get<std::string>(entries);
  }
  v.checked.valid_bytes = v.walk.at();
  const bool ended = more.size() < most;
  v.done = ended || !(v.walk.fault().empty() || v.walk.is_short());
  if (v.done && v.checked.fault.empty()) v.checked.fault = v.walk.fault();
  return more.size();
}

std::string older_generation(Disk& disk) {
  const auto all = generations(disk);
  return all.size() < 2 ? "" : std::to_string(all[1]) + ".store";
}

std::vector<Checked> verify(Disk& disk, const StoreSettings& s) {
  std::vector<Checked> all;
  for (const auto generation : generations(disk)) {
    Verification v{disk, s, std::to_string(generation) + ".store"};
    while (!v.done()) v.slice(kReadAtOnce);
    all.push_back(v.result());
  }
  return all;
}

}  // namespace gorsemount::store
