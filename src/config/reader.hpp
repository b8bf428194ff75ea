// Reads and validates values from parsed settings. All faults of a file are collected in one pass, each with
// its position, what was expected and, for an unknown name, the closest known one.
#pragma once

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/hcl.hpp"
#include "core/address.hpp"
#include "core/time.hpp"

namespace gorsemount::config {

// An effective value for `explain-config`: its path in the settings, its text with unit, and its source.
struct Effective {
  std::string path, value, source;
};

struct Findings {
  std::string file;
  std::vector<hcl::Fault> faults;
  std::vector<Effective> values;
};

// Parses a duration such as "250ms", "1.5s" or "2m"; empty if the text is not a duration.
[[nodiscard]] std::optional<Span> parse_span(const std::string& text);
[[nodiscard]] std::string span_text(Span span);
// The name in `known` with the smallest edit distance to `word`; empty if none is close.
[[nodiscard]] std::optional<std::string> nearest(const std::string& word, const std::set<std::string>& known);

struct Range {
  double least = std::numeric_limits<double>::lowest();
  double most = std::numeric_limits<double>::max();
  bool whole = false;
};

// One block, or the whole file. A getter without a default reports a missing setting. Each getter reports a
// value of the wrong type or out of range, and returns the default then. `finish` reports duplicates, and
// settings and blocks that were not requested.
class Section {
 public:
  Section(const hcl::Body& body, hcl::Place at, std::string path, Findings& findings)
      : body_{&body}, at_{at}, path_{std::move(path)}, findings_{&findings} {}

  double number(const char* name, std::optional<double> fallback, Range range, const char* unit = "");
  Span span(const char* name, std::optional<Span> fallback, Span least, Span most);
  std::string text(const char* name, const std::optional<std::string>& fallback);
  bool flag(const char* name, bool fallback);
  // The index of the value in `words`.
  std::size_t choice(const char* name, const std::vector<std::string>& words,
                     std::optional<std::size_t> fallback);
  std::vector<std::pair<std::string, hcl::Place>> texts(const char* name);
  // Blocks of a type that have `labels` labels; those with another number of labels are reported.
  std::vector<const hcl::Block*> blocks(const char* type, std::size_t labels);
  // The single block of a type; an empty section if there is none.
  Section block(const char* type);
  void finish();

  void fault(hcl::Place at, std::string what) const;
  [[nodiscard]] hcl::Place at() const { return at_; }
  [[nodiscard]] hcl::Place place(const char* name) const;  // of a setting; of the block if it is not set
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] Findings* findings() const { return findings_; }

 private:
  const hcl::Value* find(const char* name, bool needed);
  void wrong_type(const char* name, const hcl::Value& value, const std::string& expected) const;
  void record_value(const char* name, const hcl::Value* value, std::string text) const;

  const hcl::Body* body_;
  hcl::Place at_;
  std::string path_;
  Findings* findings_;
  std::set<std::string> names_, types_;
};

}  // namespace gorsemount::config
