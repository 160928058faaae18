package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Bounds of an expression. They bound its run time too, since an expression
// has neither loops nor variables.
const (
	maxExpressionBytes = 1000 // bytes
	maxExpressionNodes = 200
)

const goodAnswerAllowedText = "a condition over status, coverage, latency (in milliseconds), partial, class, tenant and service"

// Errors of conditions.
var (
	// ErrExpression: the condition does not compile.
	ErrExpression = errors.New("settings: invalid expression")
	// ErrEvaluation: the condition failed on the facts of an answer.
	ErrEvaluation = errors.New("settings: evaluation failed")
)

// expressionEnv is the environment of expressions; the tags are the names used there.
type expressionEnv struct {
	Status   int     `expr:"status"`
	Coverage float64 `expr:"coverage"`
	Latency  float64 `expr:"latency"`
	Partial  bool    `expr:"partial"`
	Class    string  `expr:"class"`
	Tenant   string  `expr:"tenant"`
	Service  string  `expr:"service"`
}

// AnswerAttributes describes one answer to a good-answer expression.
type AnswerAttributes struct {
	env expressionEnv
}

// NewAnswerAttributes returns the facts of an answer: its HTTP status, the covered
// fraction, its latency and whether it is partial.
func NewAnswerAttributes(status int, coverage float64, latency clock.Millis, partial bool) AnswerAttributes {
	return AnswerAttributes{expressionEnv{Status: status, Coverage: coverage, Latency: float64(latency), Partial: partial}}
}

// WithCaller returns the facts with the caller's class and tenant and the
// name of the service.
func (f AnswerAttributes) WithCaller(class, tenant, service string) AnswerAttributes {
	f.env.Class, f.env.Tenant, f.env.Service = class, tenant, service
	return f
}

// GoodAnswer is a compiled condition. The zero value is the default condition.
// It is safe for concurrent use.
type GoodAnswer struct {
	source  string
	program *vm.Program
}

// allowedFunctions lists the built-in functions of expressions. The others work
// on collections, depend on the wall clock or can allocate without bound.
var allowedFunctions = []string{
	"abs", "ceil", "floor", "round", "min", "max", "int", "float",
	"len", "lower", "upper", "trim", "hasPrefix", "hasSuffix",
}

// allowedOperators leaves out the range "..", which allocates, and "matches",
// since a short pattern such as "a{999}" compiles to about 100 KB.
var allowedOperators = []string{
	"==", "!=", "<", "<=", ">", ">=", "&&", "||", "and", "or", "not", "!",
	"+", "-", "*", "/", "%", "in", "contains", "startsWith", "endsWith",
}

// CompileGoodAnswer compiles and type-checks a condition.
func CompileGoodAnswer(source string) (*GoodAnswer, error) {
	if len(source) > maxExpressionBytes {
		return nil, errors.Wrapf(ErrExpression, "%d bytes are too long, at most %d are allowed", len(source), maxExpressionBytes)
	}
	tree, err := parser.Parse(source)
	if err != nil {
		return nil, errors.Wrap(ErrExpression, oneLineMessage(err))
	}
	if err := checkRestrictions(tree.Node); err != nil {
		return nil, err
	}
	program, err := expr.Compile(source, expressionOptions()...)
	if err != nil {
		return nil, errors.Wrap(ErrExpression, oneLineMessage(err))
	}
	return &GoodAnswer{source: source, program: program}, nil
}

func expressionOptions() []expr.Option {
	options := []expr.Option{
		expr.Env(expressionEnv{}), expr.AsBool(), expr.WarnOnAny(),
		expr.MaxNodes(maxExpressionNodes), expr.DisableAllBuiltins(),
	}
	for _, name := range allowedFunctions {
		options = append(options, expr.EnableBuiltin(name))
	}
	return options
}

// oneLineMessage returns the message of a compile error in one line.
func oneLineMessage(err error) string {
	var at *file.Error
	if errors.As(err, &at) {
		return fmt.Sprintf("column %d: %s", at.Column+1, at.Message)
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return first
}

// Source returns the text of the condition.
func (g *GoodAnswer) Source() string {
	if g.program == nil {
		return DefaultGoodAnswer
	}
	return g.source
}

// Evaluate reports whether an answer is good. An answer whose evaluation
// fails is not good, and the error is returned too.
func (g *GoodAnswer) Evaluate(f AnswerAttributes) (bool, error) {
	program := g.program
	if program == nil {
		program = defaults().GoodAnswer().program
	}
	result, err := expr.Run(program, &f.env)
	if err != nil {
		return false, errors.Wrapf(ErrEvaluation, "%s: %s", g.Source(), oneLineMessage(err))
	}
	good, ok := result.(bool)
	if !ok {
		return false, errors.Wrapf(ErrEvaluation, "%s: the result is %T", g.Source(), result)
	}
	return good, nil
}

// restrictionVisitor walks an expression and keeps the first thing not allowed.
type restrictionVisitor struct {
	reason string
}

// checkRestrictions refuses everything whose run time or memory is not bounded by the
// length of the expression and of the caller's strings.
func checkRestrictions(root ast.Node) error {
	var r restrictionVisitor
	ast.Walk(&root, &r)
	if r.reason != "" {
		return errors.Wrap(ErrExpression, r.reason)
	}
	return nil
}

// Visit implements ast.Visitor.
func (r *restrictionVisitor) Visit(n *ast.Node) {
	if r.reason == "" {
		r.reason = disallowedNodeReason(*n)
	}
}

func disallowedNodeReason(n ast.Node) string {
	switch t := n.(type) {
	case *ast.IdentifierNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.StringNode,
		*ast.ConditionalNode, *ast.ArrayNode:
		return ""
	case *ast.UnaryNode:
		return ""
	case *ast.BinaryNode:
		if !slices.Contains(allowedOperators, t.Operator) {
			return fmt.Sprintf("the operator %s is not allowed in a condition", t.Operator)
		}
		return ""
	case *ast.BuiltinNode:
		return disallowedCallReason(t.Name)
	case *ast.CallNode:
		return disallowedCallReason(t.Callee.String())
	}
	return fmt.Sprintf("%s is not allowed in a condition", truncate(n.String()))
}

func disallowedCallReason(name string) string {
	if slices.Contains(allowedFunctions, name) {
		return ""
	}
	return fmt.Sprintf("the function %s is not allowed in a condition%s", truncate(name), didYouMean(name, allowedFunctions))
}
