// Reads checked values out of parsed settings. Every mistake of a file is found in one go: each is a fault
// with its place, what was expected and, for an unknown name, the nearest known one.
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

// A value in force, for people: where it stands in the settings, its text with unit, where it came from.
struct Effective {
  std::string path, value, source;
};

struct Findings {
  std::string file;
  std::vector<hcl::Fault> faults;
  std::vector<Effective> values;
};

// "250ms", "1.5s", "2m"; empty if it is no span of time.
[[nodiscard]] std::optional<Span> parse_span(const std::string& text);
[[nodiscard]] std::string span_text(Span span);
// Of `known`, the name closest to `word` by edits, if it is close at all.
[[nodiscard]] std::optional<std::string> nearest(const std::string& word, const std::set<std::string>& known);

struct Range {
  double least = std::numeric_limits<double>::lowest();
  double most = std::numeric_limits<double>::max();
  bool whole = false;
};

// One block (or the whole file). A getter without a default reports a missing setting; every getter reports a
// wrong kind or an out-of-range value, and returns the default then. `done` reports what nobody asked for.
class Section {
 public:
  Section(const hcl::Body& body, hcl::Place at, std::string path, Findings& findings)
      : body_{&body}, at_{at}, path_{std::move(path)}, found_{&findings} {}

  double number(const char* name, std::optional<double> otherwise, Range range, const char* unit = "");
  Span span(const char* name, std::optional<Span> otherwise, Span least, Span most);
  std::string text(const char* name, std::optional<std::string> otherwise);
  bool flag(const char* name, bool otherwise);
  // One of the words; the place among them.
  std::size_t word(const char* name, const std::vector<std::string>& words,
                   std::optional<std::size_t> otherwise);
  std::vector<std::pair<std::string, hcl::Place>> texts(const char* name);
  // Blocks of a type with `labels` labels each; others of that type are reported.
  std::vector<const hcl::Block*> blocks(const char* type, std::size_t labels);
  // The one block of a type; an empty one if there is none.
  Section only(const char* type);
  void done();

  void fault(hcl::Place at, std::string what) const;
  [[nodiscard]] hcl::Place at() const { return at_; }
  [[nodiscard]] hcl::Place place(const char* name) const;  // of a setting, or of the block
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] Findings* findings() const { return found_; }

 private:
  const hcl::Value* find(const char* name, bool needed);
  void wrong(const char* name, const hcl::Value& value, const std::string& expected) const;
  void note(const char* name, const hcl::Value* value, std::string text) const;

  const hcl::Body* body_;
  hcl::Place at_;
  std::string path_;
  Findings* found_;
  std::set<std::string> names_, types_;
};

}  // namespace gorsemount::config
