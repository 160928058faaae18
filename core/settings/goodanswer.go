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

// Limits of an expression. They limit its run time too, since an expression has
// neither loops nor variables.
const (
	maxExpressionBytes = 1000
	maxExpressionNodes = 200 // of the syntax tree
)

const goodAnswerAllowedText = "an expression over status, coverage, latency (ms), partial, class, tenant and service"

// Errors of good-answer expressions.
var (
	// ErrExpression is returned for an expression that does not compile.
	ErrExpression = errors.New("settings: invalid expression")
	// ErrEvaluation is returned if the evaluation of an expression fails on the
	// attributes of an answer, for example because it divides by zero.
	ErrEvaluation = errors.New("settings: evaluation failed")
)

// expressionEnv is the environment of expressions. The tags are the names of the
// variables.
type expressionEnv struct {
	Status   int     `expr:"status"`
	Coverage float64 `expr:"coverage"` // fraction of shards covered, 0 to 1
	Latency  float64 `expr:"latency"`  // milliseconds
	Partial  bool    `expr:"partial"`
	Class    string  `expr:"class"`
	Tenant   string  `expr:"tenant"`
	Service  string  `expr:"service"`
}

// AnswerAttributes are the attributes of an answer that a good-answer expression can
// use.
type AnswerAttributes struct {
	env expressionEnv
}

// NewAnswerAttributes returns the attributes of an answer: its HTTP status, the
// fraction of shards covered, its latency and whether it is partial.
func NewAnswerAttributes(status int, coverage float64, latency clock.Millis, partial bool) AnswerAttributes {
	return AnswerAttributes{
		expressionEnv{Status: status, Coverage: coverage, Latency: float64(latency), Partial: partial},
	}
}

// WithCaller returns the attributes with the caller's class and tenant and the name
// of the service.
func (a AnswerAttributes) WithCaller(class, tenant, service string) AnswerAttributes {
	a.env.Class, a.env.Tenant, a.env.Service = class, tenant, service
	return a
}

// GoodAnswer is a compiled good-answer expression. The zero value is
// DefaultGoodAnswer. It is safe for concurrent use.
type GoodAnswer struct {
	source  string
	program *vm.Program
}

// allowedFunctions are the built-in functions that expressions may call. The others
// operate on collections, depend on the wall clock or can allocate without limit.
var allowedFunctions = []string{
	"abs", "ceil", "floor", "round", "min", "max", "int", "float",
	"len", "lower", "upper", "trim", "hasPrefix", "hasSuffix",
}

// allowedOperators excludes the range "..", which allocates, and "matches", since a
// short pattern such as "a{999}" compiles to about 100 KB.
var allowedOperators = []string{
	"==", "!=", "<", "<=", ">", ">=", "&&", "||", "and", "or", "not", "!",
	"+", "-", "*", "/", "%", "in", "contains", "startsWith", "endsWith",
}

// CompileGoodAnswer compiles an expression and checks its types. Its error is
// ErrExpression.
func CompileGoodAnswer(source string) (*GoodAnswer, error) {
	if len(source) > maxExpressionBytes {
		return nil, errors.Wrapf(ErrExpression, "the expression is %d bytes long, at most %d are allowed",
			len(source), maxExpressionBytes)
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

// oneLineMessage returns the message of an error of the expr library on one line.
func oneLineMessage(err error) string {
	var located *file.Error
	if errors.As(err, &located) {
		return fmt.Sprintf("column %d: %s", located.Column+1, located.Message)
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return first
}

// Source returns the text of the expression.
func (g *GoodAnswer) Source() string {
	if g.program == nil {
		return DefaultGoodAnswer
	}
	return g.source
}

// Evaluate reports whether an answer is good. If the evaluation fails, it returns
// false and ErrEvaluation.
func (g *GoodAnswer) Evaluate(a AnswerAttributes) (bool, error) {
	program := g.program
	if program == nil {
		program = defaults().GoodAnswer().program
	}
	result, err := expr.Run(program, &a.env)
	if err != nil {
		return false, errors.Wrapf(ErrEvaluation, "%s: %s", g.Source(), oneLineMessage(err))
	}
	good, ok := result.(bool)
	if !ok {
		return false, errors.Wrapf(ErrEvaluation, "%s: the result has type %T, not bool", g.Source(), result)
	}
	return good, nil
}

// restrictionVisitor walks the syntax tree of an expression and records the first
// construct that is not allowed.
type restrictionVisitor struct {
	reason string // why the construct is not allowed, or ""
}

// checkRestrictions returns ErrExpression for a construct whose run time or memory is
// not bounded by the length of the expression and of the caller's strings.
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

// disallowedNodeReason returns why a node is not allowed in an expression, or "".
func disallowedNodeReason(n ast.Node) string {
	switch t := n.(type) {
	case *ast.IdentifierNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.StringNode,
		*ast.ConditionalNode, *ast.ArrayNode:
		return ""
	case *ast.UnaryNode:
		return ""
	case *ast.BinaryNode:
		if !slices.Contains(allowedOperators, t.Operator) {
			return fmt.Sprintf("the operator %s is not allowed in an expression", t.Operator)
		}
		return ""
	case *ast.BuiltinNode:
		return disallowedCallReason(t.Name)
	case *ast.CallNode:
		return disallowedCallReason(t.Callee.String())
	}
	return fmt.Sprintf("%s is not allowed in an expression", truncate(n.String()))
}

// disallowedCallReason returns why a function must not be called, or "".
func disallowedCallReason(name string) string {
	if slices.Contains(allowedFunctions, name) {
		return ""
	}
	return fmt.Sprintf("the function %s is not allowed in an expression%s",
		truncate(name), didYouMean(name, allowedFunctions))
}
