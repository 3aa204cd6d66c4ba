#pragma once

#include "RequestContext.h"

namespace wagtailrack::request {

// Runs a request at the backend servers of this instance: admission, attempts and repeated attempts within the
// deadline and the retry budget. Used by the session's thread.
class LocalRun {
public:
    LocalRun(RequestServices& services, const RequestContext& context);

    Ending run();

private:
    Ending runOnce();
    bool mayRepeat(const Ending& ending);

    RequestServices& services;
    const RequestContext& context;
    std::set<Endpoint> tried;
    process::Suspicion suspicion = process::Suspicion::None;
};

}
