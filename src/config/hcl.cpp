#include "config/hcl.hpp"

#include <algorithm>
#include <cstdlib>
#include <tao/pegtl.hpp>

namespace gorsemount::hcl {

namespace {

namespace p = tao::pegtl;

constexpr std::size_t kMaxTextBytes = 4U << 20U;
constexpr std::size_t kMaxDepth = 32;  // bounds the parser's recursion; no settings file comes near it
constexpr std::size_t kMaxFaults = 20;

// State that the grammar actions build up: a stack of values and a stack of nested bodies.
struct Builder {
  std::vector<Value> values;
  std::vector<std::pair<std::size_t, Place>> marks;  // stack index at which each open list or object begins
  std::vector<std::pair<std::string, Place>> keys;   // keys of all open objects
  std::vector<Body*> bodies;
  std::string text, name, heredoc;
  Place text_at, name_at;
  std::vector<std::pair<std::string, Place>> labels;
  std::size_t depth = 0;
};

// Grammar rules, actions and controls have names as in PEGTL.
// NOLINTBEGIN(readability-identifier-naming)

// ---- Grammar -------------------------------------------------------------------------------------------

struct line_comment : p::seq<p::sor<p::one<'#'>, TAO_PEGTL_STRING("//")>, p::until<p::at<p::eolf>>> {};
struct comment_end : p::until<TAO_PEGTL_STRING("*/")> {};
struct block_comment : p::if_must<TAO_PEGTL_STRING("/*"), comment_end> {};
struct ws : p::star<p::sor<p::one<' ', '\t', '\r'>, block_comment>> {};
struct wsnl : p::star<p::sor<p::one<' ', '\t', '\r', '\n'>, block_comment, line_comment>> {};

struct ident_text : p::seq<p::sor<p::alpha, p::one<'_'>>, p::star<p::sor<p::alnum, p::one<'_', '-'>>>> {};
struct ident : ident_text {};
struct bare_label : ident_text {};
struct bare_key : ident_text {};

struct esc_char : p::one<'n', 'r', 't', '"', '\\'> {};
struct esc_u4 : p::seq<p::one<'u'>, p::rep<4, p::xdigit>> {};
struct esc_u8 : p::seq<p::one<'U'>, p::rep<8, p::xdigit>> {};
struct esc_body : p::sor<esc_char, esc_u4, esc_u8> {};
struct escape : p::if_must<p::one<'\\'>, esc_body> {};
struct template_escape : p::sor<TAO_PEGTL_STRING("$${"), TAO_PEGTL_STRING("%%{")> {};
struct no_template : p::not_at<p::sor<TAO_PEGTL_STRING("${"), TAO_PEGTL_STRING("%{")>> {};
struct plain_char : p::utf8::not_one<'"', '\\', '\n'> {};
struct str_open : p::one<'"'> {};
struct str_close : p::one<'"'> {};
struct str_part
    : p::sor<escape, template_escape, p::seq<p::at<plain_char>, p::must<no_template>, plain_char>> {};
struct quoted : p::if_must<str_open, p::star<str_part>, str_close> {};

struct string_value : quoted {};
struct label : quoted {};
struct quoted_key : quoted {};

struct digits : p::plus<p::digit> {};
struct number : p::seq<p::opt<p::one<'-'>>, digits, p::opt<p::one<'.'>, digits>,
                       p::opt<p::one<'e', 'E'>, p::opt<p::one<'+', '-'>>, digits>, p::not_at<ident_text>> {};
struct word_end : p::not_at<p::sor<p::alnum, p::one<'_', '-'>>> {};
struct true_word : p::seq<TAO_PEGTL_STRING("true"), word_end> {};
struct false_word : p::seq<TAO_PEGTL_STRING("false"), word_end> {};
struct null_word : p::seq<TAO_PEGTL_STRING("null"), word_end> {};

// A heredoc is matched by hand, because its opening line names the word that ends it.
struct heredoc {
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input, typename... States>
  static bool match(Input& in, Builder& b, States&&...) {
    const char* at = in.current();
    const char* const end = in.end();
    if (end - at < 3 || at[0] != '<' || at[1] != '<') return false;
    at += 2;
    const bool flush = *at == '-';
    if (flush) ++at;
    const char* word = at;
    while (at < end && (std::isalnum(static_cast<unsigned char>(*at)) != 0 || *at == '_')) ++at;
    const std::string_view mark{word, static_cast<std::size_t>(at - word)};
    if (at < end && *at == '\r') ++at;
    if (mark.empty() || at >= end || *at != '\n') return false;
    std::vector<std::string_view> lines;
    for (++at; at < end;) {
      const char* stop = std::find(at, end, '\n');
      const std::string_view line{at, static_cast<std::size_t>(stop - at)};
      const auto first = line.find_first_not_of(" \t");
      const auto last = line.find_last_not_of(" \t\r");
      if (first != std::string_view::npos && line.substr(first, last - first + 1) == mark) {
        std::size_t indent = std::string_view::npos;
        for (const auto& l : lines)
          if (const auto n = l.find_first_not_of(" \t"); n != std::string_view::npos)
            indent = std::min(indent, n);
        b.heredoc.clear();
        for (auto l : lines) {
          if (flush) l.remove_prefix(std::min(indent, l.size()));
          b.heredoc.append(l).push_back('\n');
        }
        const auto& pos = in.position();
        b.values.push_back({{pos.line, pos.column}, b.heredoc});
        in.bump(static_cast<std::size_t>(at - in.current()) + first + mark.size());
        return true;
      }
      lines.push_back(line);
      at = stop < end ? stop + 1 : end;
    }
    return false;
  }
};

// Limits the nesting depth, so that a malicious file can't exhaust the stack.
struct enter_level {
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input, typename... States>
  static bool match(Input& in, Builder& b, States&&...) {
    if (++b.depth > kMaxDepth) throw p::parse_error("nested more than 32 deep", in);
    return true;
  }
};
struct leave_level {
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input, typename... States>
  static bool match(Input&, Builder& b, States&&...) {
    --b.depth;
    return true;
  }
};

struct value;
struct list_open : p::one<'['> {};
struct list_close : p::one<']'> {};
struct list_more : p::seq<wsnl, p::one<','>, wsnl> {};
struct list_items
    : p::opt<p::seq<p::not_at<list_close>, p::must<value>,
                    p::star<list_more, p::not_at<list_close>, p::must<value>>, p::opt<wsnl, p::one<','>>>> {};
struct list : p::if_must<list_open, enter_level, wsnl, list_items, wsnl, list_close, leave_level> {};
struct object_open : p::one<'{'> {};
struct object_close : p::one<'}'> {};
struct key_separator : p::one<'=', ':'> {};
struct member_key : p::sor<bare_key, quoted_key> {};
struct member : p::if_must<member_key, ws, key_separator, ws, value> {};
struct member_end : p::seq<ws, p::sor<p::one<','>, p::one<'\n'>, line_comment, p::at<object_close>>> {};
struct object : p::if_must<object_open, enter_level, wsnl, p::star<member, p::must<member_end>, wsnl>,
                           object_close, leave_level> {};
struct value : p::sor<string_value, number, true_word, false_word, null_word, heredoc, list, object> {};

struct attribute_sign : p::seq<p::one<'='>, p::not_at<p::one<'='>>> {};
struct line_end : p::seq<ws, p::sor<p::one<'\n'>, line_comment, p::eof, p::at<p::one<'}'>>>> {};
struct attribute : p::if_must<p::seq<ws, attribute_sign>, ws, value, line_end> {};
struct block_open : p::one<'{'> {};
struct block_close : p::one<'}'> {};
struct body;
struct block : p::seq<p::star<ws, p::sor<label, bare_label>>, ws,
                      p::if_must<block_open, enter_level, body, block_close, leave_level>> {};
struct item_rest : p::sor<attribute, block> {};
struct item : p::if_must<ident, item_rest> {};
struct body : p::seq<wsnl, p::star<item, wsnl>> {};
struct file_end : p::eof {};
struct file : p::must<body, file_end> {};

// ---- Error messages by grammar rule ----------------------------------------------------------------------

template <typename Rule>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<comment_end> = "comment opened by '/*' is never closed";
template <>
inline constexpr const char* expected<esc_body> =
    "unknown escape; known are \\n \\r \\t \\\" \\\\ \\uXXXX \\UXXXXXXXX";
template <>
inline constexpr const char* expected<p::star<str_part>> = "invalid character in a string";
template <>
inline constexpr const char* expected<str_close> = "string is not closed on its line";
template <>
inline constexpr const char* expected<no_template> =
    "templates are not supported; write $${ or %%{ for the literal characters";
template <>
inline constexpr const char* expected<value> =
    "expected a value: \"text\", a number, true, false, null, [list], {object} or <<HEREDOC";
template <>
inline constexpr const char* expected<list_close> = "expected ',' or ']' in a list";
template <>
inline constexpr const char* expected<key_separator> = "expected '=' or ':' after an object's key";
template <>
inline constexpr const char* expected<object_close> = "expected a key or '}' in an object";
template <>
inline constexpr const char* expected<member_end> =
    "expected ',', a new line or '}' after an object's member";
template <>
inline constexpr const char* expected<line_end> = "expected the end of the line after the value";
template <>
inline constexpr const char* expected<block_close> =
    "expected a setting, a block or '}' that closes the block";
template <>
inline constexpr const char* expected<item_rest> = "expected '=' and a value, or labels and '{' of a block";
template <>
inline constexpr const char* expected<file_end> = "expected the name of a setting or a block";

template <typename Rule>
struct control : p::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw p::parse_error(expected<Rule> != nullptr ? expected<Rule> : "syntax error", in);
  }
};

// ---- Actions -------------------------------------------------------------------------------------------

template <typename Input>
Place place_of(const Input& in) {
  const auto pos = in.position();
  return {pos.line, pos.column};
}

void append_utf8(std::string& out, unsigned long c) {
  const auto put = [&out](unsigned long byte) { out.push_back(static_cast<char>(byte)); };
  if (c < 0x80) {
    put(c);
  } else if (c < 0x800) {
    put(0xc0 | c >> 6U), put(0x80 | (c & 0x3fU));
  } else if (c < 0x10000) {
    put(0xe0 | c >> 12U), put(0x80 | (c >> 6U & 0x3fU)), put(0x80 | (c & 0x3fU));
  } else {
    put(0xf0 | c >> 18U), put(0x80 | (c >> 12U & 0x3fU)), put(0x80 | (c >> 6U & 0x3fU));
    put(0x80 | (c & 0x3fU));
  }
}

template <typename Rule>
struct action : p::nothing<Rule> {};

template <>
struct action<str_open> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.text.clear(), b.text_at = place_of(in);
  }
};
template <>
struct action<plain_char> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.text += in.string_view();
  }
};
template <>
struct action<template_escape> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.text += in.string_view().substr(1);
  }
};
template <>
struct action<esc_char> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    const char c = *in.begin();
    b.text.push_back(c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c);
  }
};
struct unicode_action {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    const auto c = std::strtoul(in.string().c_str() + 1, nullptr, 16);
    if (c > 0x10ffff || (c >= 0xd800 && c < 0xe000))
      throw p::parse_error("not a valid Unicode code point", in);
    append_utf8(b.text, c);
  }
};
template <>
struct action<esc_u4> : unicode_action {};
template <>
struct action<esc_u8> : unicode_action {};
template <>
struct action<string_value> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    b.values.push_back({b.text_at, b.text});
  }
};
template <>
struct action<number> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.values.push_back({place_of(in), std::strtod(in.string().c_str(), nullptr)});
  }
};
template <>
struct action<true_word> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.values.push_back({place_of(in), true});
  }
};
template <>
struct action<false_word> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.values.push_back({place_of(in), false});
  }
};
template <>
struct action<null_word> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.values.push_back({place_of(in), {}});
  }
};
struct open_action {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.marks.emplace_back(b.values.size(), place_of(in));
  }
};
template <>
struct action<list_open> : open_action {};
template <>
struct action<list_close> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    const auto [from, at] = b.marks.back();
    b.marks.pop_back();
    List made;
    for (std::size_t k = from; k < b.values.size(); ++k) made.items.push_back(std::move(b.values[k]));
    b.values.resize(from);
    b.values.push_back({at, std::move(made)});
  }
};
template <>
struct action<object_open> : open_action {};
template <>
struct action<bare_key> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.keys.emplace_back(in.string(), place_of(in));
  }
};
template <>
struct action<quoted_key> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    b.keys.emplace_back(b.text, b.text_at);
  }
};
template <>
struct action<object_close> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    const auto [from, at] = b.marks.back();
    b.marks.pop_back();
    Object made;
    const std::size_t n = b.values.size() - from;
    for (std::size_t k = 0; k < n; ++k)
      made.members.emplace_back(b.keys[b.keys.size() - n + k].first, std::move(b.values[from + k]));
    b.keys.resize(b.keys.size() - n);
    b.values.resize(from);
    b.values.push_back({at, std::move(made)});
  }
};
template <>
struct action<ident> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.name = in.string(), b.name_at = place_of(in), b.labels.clear();
  }
};
template <>
struct action<label> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    b.labels.emplace_back(b.text, b.text_at);
  }
};
template <>
struct action<bare_label> {
  template <typename In>
  static void apply(const In& in, Builder& b) {
    b.labels.emplace_back(in.string(), place_of(in));
  }
};
template <>
struct action<attribute> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    b.bodies.back()->attributes.push_back({b.name, b.name_at, std::move(b.values.back())});
    b.values.pop_back();
  }
};
template <>
struct action<block_open> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    auto& blocks = b.bodies.back()->blocks;
    blocks.push_back({b.name, b.name_at, b.labels, {}});
    b.bodies.push_back(&blocks.back().body);
  }
};
template <>
struct action<block_close> {
  template <typename In>
  static void apply(const In&, Builder& b) {
    b.bodies.pop_back();
  }
};

// NOLINTEND(readability-identifier-naming)

}  // namespace

std::string Fault::text() const {
  if (at.line == 0) return file + ": " + what;
  return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what;
}

const char* Value::kind() const {
  constexpr const char* names[] = {"null", "a boolean", "a number", "a string", "a list", "an object"};
  return names[data.index()];
}

Body parse(std::string_view text, const std::string& file_name, std::vector<Fault>& faults) {
  if (text.size() > kMaxTextBytes) {
    faults.push_back({file_name, {}, "is larger than 4 MiB"});
    return {};
  }
  // After a syntax error the line is blanked and the text is parsed again, so that one run reports the faults
  // of all lines. A line with a bracket or brace ends the recovery: blanking it would unbalance its block.
  std::string rest{text};
  for (std::size_t attempt = 0;; ++attempt) {
    Body whole;
    Builder builder;
    builder.bodies.push_back(&whole);
    p::memory_input in{rest, file_name};
    try {
      p::parse<file, action, control>(in, builder);
      return whole;
    } catch (const p::parse_error& fault) {
      const auto& at = fault.positions().front();
      faults.push_back({file_name, {at.line, at.column}, std::string{fault.message()}});
      std::size_t from = 0;
      for (std::size_t line = 1; line < at.line; ++line) from = rest.find('\n', from) + 1;
      const auto to = std::min(rest.find('\n', from), rest.size());
      const bool braced = rest.substr(from, to - from).find_first_of("{}[]") != std::string::npos;
      if (braced || from == to || attempt + 1 >= kMaxFaults) return {};
      std::fill(rest.begin() + static_cast<std::ptrdiff_t>(from),
                rest.begin() + static_cast<std::ptrdiff_t>(to), ' ');
    }
  }
}

}  // namespace gorsemount::hcl
