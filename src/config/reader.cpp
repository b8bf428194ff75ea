#include "config/reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

namespace gorsemount::config {

namespace {

const hcl::Body kEmptyBody;

std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t swap = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, swap}));
    }
  }
  return row.back();
}

std::string suggestion(const std::string& word, const std::set<std::string>& known) {
  if (const auto near = nearest(word, known)) return "; did you mean '" + *near + "'?";
  return known.empty() ? "" : fmt::format("; known here: {}", fmt::join(known, ", "));
}

}  // namespace

std::optional<Span> parse_span(const std::string& text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc{} || !std::isfinite(value)) return {};
  const std::string unit{end, text.data() + text.size()};
  const double scale = unit == "us"   ? 1e-6
                       : unit == "ms" ? 1e-3
                       : unit == "s"  ? 1
                       : unit == "m"  ? 60
                       : unit == "h"  ? 3600
                                      : 0;
  if (scale == 0 || std::abs(value * scale) > 1e9) return {};
  return Span::seconds(value * scale);
}

std::string span_text(Span span) {
  const double s = span.seconds();
  if (s != 0 && std::abs(s) < 1) return fmt::format("{:g}ms", s * 1e3);
  return fmt::format("{:g}s", s);
}

std::optional<std::string> nearest(const std::string& word, const std::set<std::string>& known) {
  std::optional<std::string> best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const auto& name : known)
    if (const auto n = edit_distance(word, name); n < least) least = n, best = name;
  return best;
}

const hcl::Value* Section::find(const char* name, bool needed) {
  names_.insert(name);
  for (const auto& a : body_->attributes)
    if (a.name == name) return &a.value;
  if (needed) fault(at_, fmt::format("'{}' is missing in {}", name, path_.empty() ? "the file" : path_));
  return nullptr;
}

hcl::Place Section::place(const char* name) const {
  for (const auto& a : body_->attributes)
    if (a.name == name) return a.value.at;
  return at_;
}

void Section::fault(hcl::Place at, std::string what) const {
  findings_->faults.push_back({findings_->file, at, std::move(what)});
}

void Section::wrong_type(const char* name, const hcl::Value& value, const std::string& expected) const {
  fault(value.at, fmt::format("'{}' must be {}, not {}", name, expected, value.kind()));
}

void Section::record_value(const char* name, const hcl::Value* value, std::string text) const {
  findings_->values.push_back(
      {path_.empty() ? name : path_ + "." + name, std::move(text),
       value == nullptr ? "default" : fmt::format("{}:{}", findings_->file, value->at.line)});
}

double Section::number(const char* name, std::optional<double> fallback, Range range, const char* unit) {
  const hcl::Value* value = find(name, !fallback);
  double result = fallback.value_or(0);
  if (value != nullptr) {
    const auto* given = std::get_if<double>(&value->data);
    const bool fits = given != nullptr && *given >= range.least && *given <= range.most &&
                      (!range.whole || *given == std::floor(*given));
    if (given == nullptr) {
      wrong_type(name, *value, range.whole ? "a whole number" : "a number");
    } else if (!fits) {
      const std::string bound = range.most >= 1e15
                                    ? fmt::format("{:g} or more", range.least)
                                    : fmt::format("from {:g} to {:g}", range.least, range.most);
      fault(value->at, fmt::format("'{}' is {:g}; expected {} {}", name, *given,
                                   range.whole ? "a whole number" : "a number", bound));
    } else {
      result = *given;
    }
  }
  record_value(name, value, fmt::format("{:g}{}{}", result, *unit != 0 ? " " : "", unit));
  return result;
}

Span Section::span(const char* name, std::optional<Span> fallback, Span least, Span most) {
  const hcl::Value* value = find(name, !fallback);
  Span result = fallback.value_or(Span{});
  if (value != nullptr) {
    const auto* given = std::get_if<std::string>(&value->data);
    const auto read = given != nullptr ? parse_span(*given) : std::nullopt;
    if (given == nullptr) {
      wrong_type(name, *value, "a span of time such as \"250ms\" or \"4s\"");
    } else if (!read) {
      fault(value->at,
            fmt::format("'{}' is \"{}\"; expected a span of time such as \"250ms\", \"4s\" or \"2m\"", name,
                        *given));
    } else if (*read < least || *read > most) {
      fault(value->at, fmt::format("'{}' is {}; expected from {} to {}", name, span_text(*read),
                                   span_text(least), span_text(most)));
    } else {
      result = *read;
    }
  }
  record_value(name, value, span_text(result));
  return result;
}

std::string Section::text(const char* name, const std::optional<std::string>& fallback) {
  const hcl::Value* value = find(name, !fallback);
  std::string result = fallback.value_or("");
  if (value != nullptr) {
    if (const auto* given = std::get_if<std::string>(&value->data)) {
      result = *given;
    } else {
      wrong_type(name, *value, "a string");
    }
  }
  record_value(name, value, '"' + result + '"');
  return result;
}

bool Section::flag(const char* name, bool fallback) {
  const hcl::Value* value = find(name, false);
  bool result = fallback;
  if (value != nullptr) {
    if (const auto* given = std::get_if<bool>(&value->data)) {
      result = *given;
    } else {
      wrong_type(name, *value, "true or false");
    }
  }
  record_value(name, value, result ? "true" : "false");
  return result;
}

std::size_t Section::choice(const char* name, const std::vector<std::string>& words,
                            std::optional<std::size_t> fallback) {
  const hcl::Value* value = find(name, !fallback);
  std::size_t result = fallback.value_or(0);
  if (value != nullptr) {
    const auto* given = std::get_if<std::string>(&value->data);
    if (given == nullptr) {
      wrong_type(name, *value, "a string");
    } else if (const auto it = std::find(words.begin(), words.end(), *given); it != words.end()) {
      result = static_cast<std::size_t>(it - words.begin());
    } else {
      fault(value->at,
            fmt::format("'{}' is \"{}\"{}", name, *given, suggestion(*given, {words.begin(), words.end()})));
    }
  }
  record_value(name, value, '"' + words[result] + '"');
  return result;
}

std::vector<std::pair<std::string, hcl::Place>> Section::texts(const char* name) {
  const hcl::Value* value = find(name, false);
  std::vector<std::pair<std::string, hcl::Place>> result;
  if (value == nullptr) return result;
  const auto* list = std::get_if<hcl::List>(&value->data);
  if (list == nullptr) {
    wrong_type(name, *value, "a list of strings");
    return result;
  }
  std::vector<std::string> plain;
  for (const auto& item : list->items) {
    if (const auto* text = std::get_if<std::string>(&item.data)) {
      result.emplace_back(*text, item.at), plain.push_back('"' + *text + '"');
    } else {
      wrong_type(name, item, "a list of strings");
    }
  }
  record_value(name, value, fmt::format("[{}]", fmt::join(plain, ", ")));
  return result;
}

std::vector<const hcl::Block*> Section::blocks(const char* type, std::size_t labels) {
  types_.insert(type);
  std::vector<const hcl::Block*> result;
  std::set<std::string> seen;
  for (const auto& b : body_->blocks) {
    if (b.type != type) continue;
    if (b.labels.size() != labels) {
      fault(b.at, fmt::format("block '{}' takes {} label(s), not {}", type, labels, b.labels.size()));
    } else if (labels > 0 && !seen.insert(b.labels[0].first).second) {
      fault(b.labels[0].second, fmt::format("{} \"{}\" is there twice", type, b.labels[0].first));
    } else {
      result.push_back(&b);
    }
  }
  return result;
}

Section Section::block(const char* type) {
  const auto found = blocks(type, 0);
  if (found.size() > 1) fault(found[1]->at, fmt::format("block '{}' is there twice", type));
  const std::string path = path_.empty() ? type : path_ + "." + type;
  if (found.empty()) return {kEmptyBody, at_, path, *findings_};
  return {found[0]->body, found[0]->at, path, *findings_};
}

void Section::finish() {
  std::set<std::string> seen;
  for (const auto& a : body_->attributes) {
    if (!names_.contains(a.name))
      fault(a.at, fmt::format("unknown setting '{}'{}", a.name, suggestion(a.name, names_)));
    if (!seen.insert(a.name).second) fault(a.at, fmt::format("'{}' is set twice", a.name));
  }
  for (const auto& b : body_->blocks)
    if (!types_.contains(b.type))
      fault(b.at, fmt::format("unknown block '{}'{}", b.type, suggestion(b.type, types_)));
}

}  // namespace gorsemount::config
