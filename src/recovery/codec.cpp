#include "recovery/codec.hpp"

#include <cmath>

#include "facts_generated.h"

namespace gorsemount::recovery {

namespace {

constexpr std::size_t kFiguresMost = 4096;        // of one fact
constexpr std::size_t kNameMost = 512;            // bytes
constexpr std::int64_t kMicrosMost = 1LL << 52U;  // a hundred years and more: beyond it no sum is safe

bool fits(const flatbuffers::String* s) { return s == nullptr || s->size() <= kNameMost; }
bool fits(std::int64_t micros) { return micros > -kMicrosMost && micros < kMicrosMost; }

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
  // FlatBuffers reads in place and wants alignment; the bytes may stand anywhere.
  const std::vector<std::uint64_t> words = [&] {
    std::vector<std::uint64_t> copy((bytes.size() + 7) / 8);
    if (!bytes.empty()) std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(copy.data()));
    return copy;
  }();
  const auto* data = reinterpret_cast<const std::uint8_t*>(words.data());
  flatbuffers::Verifier verifier{data, bytes.size(), 16,
                                 static_cast<flatbuffers::uoffset_t>(bytes.size() + 16)};
  if (bytes.size() < 8 || !wire::VerifyBatchBuffer(verifier)) return std::string{"not a batch of facts"};
  std::vector<Entry> entries;
  const auto* rows = wire::GetBatch(data)->entries();
  if (rows == nullptr) return entries;
  for (const auto* row : *rows) {
    const std::string at = "entry " + std::to_string(entries.size());
    if (row->sequence() == 0) return at + ": no sequence";
    if (!fits(row->name()) || !fits(row->instance())) return at + ": a name that is too long";
    if (!fits(row->learned())) return at + ": a time out of range";
    Entry e;
    e.sequence = row->sequence(), e.deleted = row->gone(), e.learned = base + Span::micros(row->learned());
    // A kind of a later version: nothing that we could act on.
    if (row->kind() >= kFactKindCount) continue;
    e.subject = {static_cast<FactKind>(row->kind()), row->name()->str()};
    if (row->instance() != nullptr) e.fact.instance = row->instance()->str();
    if (row->figures() != nullptr) {
      if (row->figures()->size() > kFiguresMost) return at + ": too many figures";
      for (const auto* f : *row->figures()) {
        if (!std::isfinite(f->value()) || !fits(f->name())) return at + ": a figure out of range";
        e.fact.figures[f->name()->str()] = f->value();
      }
    }
    if (row->times() != nullptr)
      for (const auto* t : *row->times()) {
        if (!fits(t->micros()) || !fits(t->name())) return at + ": a time out of range";
        e.fact.times[t->name()->str()] = base + Span::micros(t->micros());
      }
    entries.push_back(std::move(e));
  }
  return entries;
}

}  // namespace gorsemount::recovery
