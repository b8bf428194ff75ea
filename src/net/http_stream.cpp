#include "net/http_stream.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "net/beast_feed.hpp"

namespace gorsemount::net {

namespace http = boost::beast::http;

struct HttpStream::Parser {
  Parser() {
    beast_parser.eager(true);
    beast_parser.header_limit(8192);
    beast_parser.body_limit(boost::none);  // an endless stream; the caller bounds the size of each part
  }
  http::response_parser<http::string_body> beast_parser;
  std::string error;
};

HttpStream::HttpStream() : parser_{std::make_unique<Parser>()} {}
HttpStream::~HttpStream() = default;

std::size_t HttpStream::feed(std::string_view bytes) {
  return feed_parser(parser_->beast_parser, parser_->error, bytes);
}

void HttpStream::end() {
  boost::system::error_code error;
  if (parser_->beast_parser.got_some() && !parser_->beast_parser.is_done())
    parser_->beast_parser.put_eof(error);
}

unsigned HttpStream::status() const {
  return parser_->beast_parser.is_header_done() ? parser_->beast_parser.get().result_int() : 0;
}

std::string HttpStream::take() { return std::exchange(parser_->beast_parser.get().body(), {}); }

bool HttpStream::done() const { return parser_->beast_parser.is_done(); }

const std::string& HttpStream::error() const { return parser_->error; }

}  // namespace gorsemount::net
