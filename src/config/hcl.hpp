// Parser for HCL native syntax without expressions: attributes, blocks with labels, strings with escapes,
// numbers, booleans, null, lists, objects, heredocs, and the three kinds of comment. Each element of the
// result carries its source position.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace gorsemount::hcl {

struct Place {
  std::size_t line = 0, column = 0;  // counted from 1; 0 if there is no position
};

struct Fault {
  std::string file;
  Place at;
  std::string what;
  [[nodiscard]] std::string text() const;  // file:line:column: what
};

struct Value;
struct List {
  std::vector<Value> items;
};
struct Object {
  std::vector<std::pair<std::string, Value>> members;
};
struct Value {
  Place at;
  std::variant<std::monostate, bool, double, std::string, List, Object> data;
  [[nodiscard]] const char* kind() const;  // "a string", "a number" ...
};

struct Attribute {
  std::string name;
  Place at;
  Value value;
};
struct Block;
struct Body {
  std::vector<Attribute> attributes;
  std::vector<Block> blocks;
};
struct Block {
  std::string type;
  Place at;
  std::vector<std::pair<std::string, Place>> labels;
  Body body;
};

// Parses a complete text and appends one fault for each line with a syntax error, 20 at most. Returns an
// empty body if recovery is not possible. Limits: 4 MiB of text, 32 levels of nesting.
[[nodiscard]] Body parse(std::string_view text, const std::string& file, std::vector<Fault>& faults);

}  // namespace gorsemount::hcl
