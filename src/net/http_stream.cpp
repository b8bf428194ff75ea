#include "net/http_stream.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "net/beast_feed.hpp"

namespace gorsemount::net {

namespace http = boost::beast::http;

struct HttpStream::Parser {
  Parser() {
    wire.eager(true);
    wire.header_limit(8192);
    wire.body_limit(boost::none);  // it goes on as long as the connection; who takes it bounds a part
  }
  http::response_parser<http::string_body> wire;
  std::string error;
};

HttpStream::HttpStream() : parser_{std::make_unique<Parser>()} {}
HttpStream::~HttpStream() = default;

std::size_t HttpStream::feed(std::string_view bytes) {
  return feed_parser(parser_->wire, parser_->error, bytes);
}

void HttpStream::end() {
  boost::system::error_code fault;
  if (parser_->wire.got_some() && !parser_->wire.is_done()) parser_->wire.put_eof(fault);
}

unsigned HttpStream::status() const {
  return parser_->wire.is_header_done() ? parser_->wire.get().result_int() : 0;
}

std::string HttpStream::take() { return std::exchange(parser_->wire.get().body(), {}); }

bool HttpStream::done() const { return parser_->wire.is_done(); }

const std::string& HttpStream::error() const { return parser_->error; }

}  // namespace gorsemount::net
