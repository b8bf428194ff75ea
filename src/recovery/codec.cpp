#include "recovery/codec.hpp"

#include <cmath>

#include "facts_generated.h"

namespace gorsemount::recovery {

namespace {

constexpr std::size_t kMaxFigures = 4096;  // per fact
constexpr std::size_t kMaxNameBytes = 512;
constexpr std::int64_t kMaxMicros = 1LL << 52U;  // over a hundred years; prevents overflow in sums

bool within_limits(const flatbuffers::String* s) { return s == nullptr || s->size() <= kMaxNameBytes; }
bool within_limits(std::int64_t micros) { return micros > -kMaxMicros && micros < kMaxMicros; }

}  // namespace

std::string encode(const std::vector<Entry>& entries, Instant base) {
  flatbuffers::FlatBufferBuilder fbb{1024};
  std::vector<flatbuffers::Offset<wire::Entry>> rows;
  rows.reserve(entries.size());
  for (const auto& e : entries) {
    std::vector<flatbuffers::Offset<wire::Figure>> figures;
    for (const auto& [name, value] : e.fact.figures)
      figures.push_back(wire::CreateFigure(fbb, fbb.CreateSharedString(name), value));
    std::vector<flatbuffers::Offset<wire::Time>> times;
    for (const auto& [name, time] : e.fact.times)
      times.push_back(wire::CreateTime(fbb, fbb.CreateSharedString(name), (time - base).micros()));
    const auto name = fbb.CreateString(e.subject.name);
    const auto instance = fbb.CreateString(e.fact.instance);
    const auto figure_rows = fbb.CreateVector(figures);
    const auto time_rows = fbb.CreateVector(times);
    rows.push_back(wire::CreateEntry(fbb, static_cast<std::uint8_t>(e.subject.kind), name, instance,
                                     e.sequence, e.deleted, (e.learned - base).micros(), figure_rows,
                                     time_rows));
  }
  fbb.Finish(wire::CreateBatch(fbb, fbb.CreateVector(rows)));
  return {reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize()};
}

std::variant<std::vector<Entry>, std::string> decode(std::string_view bytes, Instant base) {
  // FlatBuffers requires an aligned buffer; the input may not be aligned.
  const std::vector<std::uint64_t> words = [&] {
    std::vector<std::uint64_t> copy((bytes.size() + 7) / 8);
    if (!bytes.empty()) std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(copy.data()));
    return copy;
  }();
  const auto* data = reinterpret_cast<const std::uint8_t*>(words.data());
  flatbuffers::Verifier verifier{data, bytes.size(), 16,
                                 static_cast<flatbuffers::uoffset_t>(bytes.size() + 16)};
  if (bytes.size() < 8 || !wire::VerifyBatchBuffer(verifier))
    return std::string{"not a valid batch of facts"};
  std::vector<Entry> entries;
  const auto* rows = wire::GetBatch(data)->entries();
  if (rows == nullptr) return entries;
  for (const auto* row : *rows) {
    const std::string at = "entry " + std::to_string(entries.size());
    if (row->sequence() == 0) return at + ": no sequence";
    if (!within_limits(row->name()) || !within_limits(row->instance())) return at + ": name too long";
    if (!within_limits(row->learned())) return at + ": time out of range";
    Entry e;
    e.sequence = row->sequence(), e.deleted = row->gone(), e.learned = base + Span::micros(row->learned());
    // A kind from a later version is skipped.
    if (row->kind() >= kFactKindCount) continue;
    e.subject = {static_cast<FactKind>(row->kind()), row->name()->str()};
    if (row->instance() != nullptr) e.fact.instance = row->instance()->str();
    if (row->figures() != nullptr) {
      if (row->figures()->size() > kMaxFigures) return at + ": too many figures";
      for (const auto* f : *row->figures()) {
        if (!std::isfinite(f->value()) || !within_limits(f->name())) return at + ": figure out of range";
        e.fact.figures[f->name()->str()] = f->value();
      }
    }
    if (row->times() != nullptr)
      for (const auto* t : *row->times()) {
        if (!within_limits(t->micros()) || !within_limits(t->name())) return at + ": time out of range";
        e.fact.times[t->name()->str()] = base + Span::micros(t->micros());
      }
    entries.push_back(std::move(e));
  }
  return entries;
}

}  // namespace gorsemount::recovery
