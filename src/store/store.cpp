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

std::string fault_in(const std::string& file, const std::string& fault) { return file + ": " + fault; }

// Record layout: magic u32 | schema u16 | kind u8 | mac u8 | length u32 | sequence u64 | wall i64 | mono i64
// | payload | xxh3 u64 | [MAC 32]
constexpr std::uint32_t kMagic = 0x534d4f47;
constexpr std::size_t kHeaderBytes = 4 + 2 + 1 + 1 + 4 + 8 + 8 + 8, kChecksumBytes = 8, kMacBytes = 32;
constexpr std::size_t kMaxPayloadBytes = 64U << 20U;
constexpr std::size_t kFactsPerRecord = 512;  // in a snapshot; bounds what a torn write loses
constexpr std::size_t kKeptGenerations = 2;
constexpr std::size_t kVerifySliceBytes = 4U << 20U;  // for the command-line tool, which has no byte budget
enum RecordKind : std::uint8_t { identity = 1, facts = 2, snapshot_end = 3, changes = 4 };

template <class Int>
void append_int(std::string& out, Int v) {
  // The format is little-endian, and so must be the host.
  out.append(reinterpret_cast<const char*>(&v), sizeof v);
}
template <class Int>
Int read_int(std::string_view in, std::size_t at) {
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

class RecordReader {
 public:
  RecordReader(std::string_view bytes, const StoreSettings& settings) : bytes_{bytes}, s_{&settings} {}
  // The next record; empty at the end or at the first invalid record, which fault() then describes.
  std::optional<Record> next() {
    const std::string_view left = bytes_.substr(at_);
    truncated_ = false;
    if (left.empty()) return {};
    const auto bad = [&](const std::string& cause) {
      fault_ = "byte " + std::to_string(consumed_ + at_) + ": " + cause;
      return std::nullopt;
    };
    truncated_ = left.size() < kHeaderBytes;
    if (truncated_) return bad("truncated record header");
    if (read_int<std::uint32_t>(left, 0) != kMagic) return bad("no record starts here");
    Record record;
    record.schema = read_int<std::uint16_t>(left, 4), record.kind = read_int<std::uint8_t>(left, 6);
    const bool has_mac = read_int<std::uint8_t>(left, 7) != 0;
    const std::size_t length = read_int<std::uint32_t>(left, 8);
    record.sequence = read_int<std::uint64_t>(left, 12), record.at.wall_us = read_int<std::int64_t>(left, 20),
    record.at.monotonic_us = read_int<std::int64_t>(left, 28);
    if (length > kMaxPayloadBytes)
      return bad("record with an invalid length of " + std::to_string(length) + " bytes");
    record.size = kHeaderBytes + length + kChecksumBytes + (has_mac ? kMacBytes : 0);
    truncated_ = left.size() < record.size;
    if (truncated_) return bad("truncated record");
    if (s_->check && XXH3_64bits(left.data(), kHeaderBytes + length) !=
                         read_int<std::uint64_t>(left, kHeaderBytes + length))
      return bad("checksum mismatch");
    if (record.schema > kSchema)
      return bad("schema " + std::to_string(record.schema) + "; the highest supported is " +
                 std::to_string(kSchema));
    if (record.schema + 1 < kSchema) return bad("schema " + std::to_string(record.schema) + " is too old");
    if (s_->check && record.sequence != sequence_ + 1)
      return bad("record " + std::to_string(record.sequence) + " where " + std::to_string(sequence_ + 1) +
                 " was expected");
    if (s_->key) {
      if (!has_mac) return bad("no MAC, but a key is configured");
      std::string text{reinterpret_cast<const char*>(previous_mac_.data()), previous_mac_.size()};
      text.append(left.data(), kHeaderBytes + length);
      if (crypto_auth_hmacsha512256_verify(
              reinterpret_cast<const std::uint8_t*>(left.data() + kHeaderBytes + length + kChecksumBytes),
              reinterpret_cast<const std::uint8_t*>(text.data()), text.size(), s_->key->data()) != 0)
        return bad("MAC mismatch");
      std::memcpy(previous_mac_.data(), left.data() + kHeaderBytes + length + kChecksumBytes, kMacBytes);
    }
    sequence_ = record.sequence;
    record.payload = left.substr(kHeaderBytes, length);
    at_ += record.size;
    return record;
  }
  [[nodiscard]] const std::string& fault() const { return fault_; }
  [[nodiscard]] std::size_t at() const { return consumed_ + at_; }
  // Whether the fault is only that the input ends early; more of it may follow.
  [[nodiscard]] bool is_truncated() const { return truncated_; }
  // Continues with input that starts where the last valid record ended.
  void continue_with(std::string_view bytes) { consumed_ += at_, at_ = 0, bytes_ = bytes, fault_.clear(); }

 private:
  std::string_view bytes_;
  const StoreSettings* s_;
  std::size_t at_ = 0, consumed_ = 0;
  bool truncated_ = false;
  std::uint64_t sequence_ = 0;
  std::array<std::uint8_t, 32> previous_mac_{};
  std::string fault_;
};

std::vector<std::uint64_t> list_generations(Disk& disk) {
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

LoadedFacts load(Disk& disk, const StoreSettings& s, const ClockReading& now) {
  LoadedFacts result;
  if (s.key && sodium_init() < 0) throw DiskError{"libsodium failed to initialize"};
  std::vector<std::uint64_t> all;
  try {
    all = list_generations(disk);
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
    RecordReader reader{bytes, s};
    recovery::FactLog log;
    ClockReading last;
    bool complete = false, malformed = false;
    std::string boot, owner_mismatch;
    while (const auto record = reader.next()) {
      last = record->at;
      if (record->kind == identity) {
        const auto separator = record->payload.find('\0');
        const std::string owner{record->payload.substr(0, separator)};
        boot = separator == std::string_view::npos ? "" : std::string{record->payload.substr(separator + 1)};
        if (!s.owner.empty() && owner != s.owner) {  // empty: an operator's inspection accepts any owner
          owner_mismatch = "it belongs to '" + owner + "', not to '" + s.owner + "'";
          break;
        }
      } else if (record->kind == facts || record->kind == changes) {
        auto entries = recovery::decode(record->payload, Instant{} + Span::micros(record->at.monotonic_us));
        if (const auto* fault = std::get_if<std::string>(&entries)) {
          result.faults.push_back(file + ": before byte " + std::to_string(reader.at()) + ": " + *fault);
          malformed = true;
          break;
        }
        for (auto& e : std::get<std::vector<Entry>>(entries)) log.put(std::move(e));
      } else if (record->kind == snapshot_end) {
        complete = true;
      }
    }
    if (!reader.fault().empty()) result.faults.push_back(fault_in(file, reader.fault()));
    if (!owner_mismatch.empty()) {
      result.faults.push_back(fault_in(file, owner_mismatch));
      continue;
    }
    // An incomplete snapshot is no consistent state; a log with a torn end is what a power failure leaves.
    if (!complete || malformed) {
      if (!complete) result.faults.push_back(file + ": incomplete snapshot");
      continue;
    }
    last.boot_id = boot;
    result.generation = generation;
    result.age = recovery::age_of(last, now);
    // Converts times from the writer's clock to the reader's.
    const std::int64_t age = result.age.elapsed ? result.age.elapsed->micros() : 0;
    const Span shift = Span::micros(now.monotonic_us - age - last.monotonic_us);
    if (result.age.elapsed) result.confirmed_at = Instant{} + Span::micros(now.monotonic_us - age);
    for (auto e : log.after(0)) {
      if (e.deleted) continue;
      e.learned = e.learned + shift;
      for (auto& [name, time] : e.fact.times) time = time + shift;
      result.entries.push_back(std::move(e));
    }
    return result;
  }
  result.empty_reason = all.empty() ? "the store is empty" : "no generation is valid";
  return result;
}

std::string Store::file_name(std::uint64_t generation) const { return std::to_string(generation) + ".store"; }

void Store::append_record(std::string& out, std::uint8_t kind, const ClockReading& now,
                          std::string_view payload) {
  std::string record;
  append_int(record, kMagic), append_int(record, kSchema), append_int(record, kind),
      append_int(record, static_cast<std::uint8_t>(s_.key ? 1 : 0));
  append_int(record, static_cast<std::uint32_t>(payload.size())), append_int(record, ++sequence_),
      append_int(record, now.wall_us), append_int(record, now.monotonic_us);
  record += payload;
  const std::uint64_t checksum = XXH3_64bits(record.data(), record.size());
  if (s_.key) {
    std::string text{reinterpret_cast<const char*>(previous_mac_.data()), previous_mac_.size()};
    text += record;
    crypto_auth_hmacsha512256(previous_mac_.data(), reinterpret_cast<const std::uint8_t*>(text.data()),
                              text.size(), s_.key->data());
  }
  append_int(record, checksum);
  if (s_.key) record.append(reinterpret_cast<const char*>(previous_mac_.data()), previous_mac_.size());
  out += record;
}

Store::Store(Disk& disk, StoreSettings settings, const ClockReading& now, const std::vector<Entry>& entries)
    : disk_{&disk}, s_{std::move(settings)} {
  if (s_.key && sodium_init() < 0) throw DiskError{"libsodium failed to initialize"};
  const auto all = list_generations(disk);
  generation_ = all.empty() ? 0 : all.front();
  for (const auto& name : disk.list())
    if (name.ends_with(".new")) disk.remove(name);  // left by a process that died while writing
  snapshot(now, entries);
}

void Store::snapshot(const ClockReading& now, const std::vector<Entry>& entries) {
  const std::uint64_t generation = generation_ + 1;
  const std::string new_file = std::to_string(generation) + ".new";
  sequence_ = 0, previous_mac_ = {};
  std::string bytes;
  append_record(bytes, identity, now, s_.owner + std::string(1, '\0') + now.boot_id);
  for (std::size_t k = 0; k < entries.size(); k += kFactsPerRecord)
    append_record(
        bytes, facts, now,
        recovery::encode(
            {entries.begin() + static_cast<std::ptrdiff_t>(k),
             entries.begin() + static_cast<std::ptrdiff_t>(std::min(entries.size(), k + kFactsPerRecord))},
            Instant{} + Span::micros(now.monotonic_us)));
  append_record(bytes, snapshot_end, now, {});
  disk_->create(new_file);
  disk_->append(new_file, bytes);
  if (s_.sync) disk_->sync(new_file), ++syncs_;
  disk_->rename(new_file, file_name(generation));
  if (s_.sync) disk_->sync_directory(), ++syncs_;
  generation_ = generation, log_bytes_ = 0, snapshot_bytes_ = bytes.size(), bytes_ += bytes.size();
  // The oldest generation may be removed only now.
  const auto all = list_generations(*disk_);
  for (std::size_t k = kKeptGenerations; k < all.size(); ++k) disk_->remove(file_name(all[k]));
}

void Store::write(const ClockReading& now, const std::vector<Entry>& entries) {
  std::string bytes;
  append_record(bytes, changes, now, recovery::encode(entries, Instant{} + Span::micros(now.monotonic_us)));
  disk_->append(file_name(generation_), bytes);
  log_bytes_ += bytes.size(), bytes_ += bytes.size();
}

void Store::sync() {
  if (!s_.sync) return;
  disk_->sync(file_name(generation_));
  ++syncs_;
}

bool Store::snapshot_due() const {
  return log_bytes_ > std::max(s_.snapshot_threshold_bytes, snapshot_bytes_);
}

struct FileVerifier::State {
  State(Disk& where, const StoreSettings& settings) : disk{where}, s{settings} {}
  Disk& disk;
  StoreSettings s;
  RecordReader reader{{}, s};
  FileCheck result;
  std::string bytes;  // read but not yet verified
  bool done = false;
};

FileVerifier::FileVerifier(Disk& disk, const StoreSettings& settings, std::string file)
    : state_{std::make_unique<State>(disk, settings)} {
  state_->result.file = std::move(file);
  state_->done = state_->result.file.empty();
}
FileVerifier::~FileVerifier() = default;
bool FileVerifier::done() const { return state_->done; }
FileCheck FileVerifier::result() const { return state_->result; }

std::size_t FileVerifier::read_slice(std::size_t max_bytes) {
  State& state = *state_;
  if (state.done) return 0;
  std::string more;
  try {
    more = state.disk.read_range(state.result.file, state.result.bytes, max_bytes);
  } catch (const DiskError& fault) {
    const auto names = state.disk.list();
    if (std::find(names.begin(), names.end(), state.result.file) != names.end())
      state.result.fault = fault.what();
    state.done = true;
    return 0;
  }
  state.bytes.erase(0, state.reader.at() - (state.result.bytes - state.bytes.size()));
  state.bytes += more, state.result.bytes += more.size();
  state.reader.continue_with(state.bytes);
  while (const auto record = state.reader.next()) {
    ++state.result.records;
    state.result.snapshot_complete = state.result.snapshot_complete || record->kind == snapshot_end;
    if (record->kind != facts && record->kind != changes) continue;
    if (const auto entries = recovery::decode(record->payload, Instant{});
        std::holds_alternative<std::string>(entries) && state.result.fault.empty())
      state.result.fault =
          "before byte " + std::to_string(state.reader.at()) + ": " + std::get<std::string>(entries);
  }
  state.result.valid_bytes = state.reader.at();
  const bool at_end = more.size() < max_bytes;
  state.done = at_end || !(state.reader.fault().empty() || state.reader.is_truncated());
  if (state.done && state.result.fault.empty()) state.result.fault = state.reader.fault();
  return more.size();
}

std::string older_generation(Disk& disk) {
  const auto all = list_generations(disk);
  return all.size() < 2 ? "" : std::to_string(all[1]) + ".store";
}

std::vector<FileCheck> verify(Disk& disk, const StoreSettings& s) {
  std::vector<FileCheck> all;
  for (const auto generation : list_generations(disk)) {
    FileVerifier verifier{disk, s, std::to_string(generation) + ".store"};
    while (!verifier.done()) verifier.read_slice(kVerifySliceBytes);
    all.push_back(verifier.result());
  }
  return all;
}

}  // namespace gorsemount::store
