#pragma once

#include "SocketStream.h"

#include <wagtailrack/connection/HttpMessage.h>

#include <httplib.h>

namespace wagtailrack::connection {

enum class AfterRequest {
    KeepOpen,
    Close,
};

// What the thread of a connection keeps besides httplib's own state.
struct ServerConnectionState {
    SocketStream* stream = nullptr;
    AfterRequest afterRequest = AfterRequest::KeepOpen;
    // The handler has answered; its answer is sent as it is, also an error without a body.
    bool isAnswered = false;
    // The headers as received; see hideHeaders().
    HeaderMap headers;
};

// State of the connection that this thread serves.
ServerConnectionState& connectionState() noexcept;

// Takes the headers out of httplib's sight that would make it change a message that is only passed on: it would decode
// compressed and form bodies, cut out ranges, and compress answers.
void hideHeaders(httplib::Request& request);

// Status for a request whose framing is ambiguous or too large, 0 for a sound one. Without this check a negative
// Content-Length keeps the connection waiting, and two lengths that disagree, or a body where httplib reads none, let
// one request hide in another's body.
int statusOfInvalidFraming(const httplib::Request& request, int64_t maxBodyBytes);

HttpRequest fromHttplib(const httplib::Request& source);
void toHttplib(const HttpResponse& source, httplib::Response& response);

// Ends a connection so that the peer gets all that was sent: closing with input unread would reset it.
void closeGracefully(int socket);

}
