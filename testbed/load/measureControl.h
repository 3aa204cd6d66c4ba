#pragma once

namespace wagtailrack::testbed {

// `measure-control --folder BUILD [--instances 6,12,24,48] [--failure-domains 6] [--edits 20] [--seconds 20]`: starts
// that many instances on loopback and prints what the control plane costs, idle and while edits run.
int measureControl(int argumentCount, char** arguments);

}
